#pragma once

#include <optional>
#include <string>

#include "ctl/Change.h"
#include "ctl/Report.h"
#include "swiftlift/base/Ids.h"

namespace swiftlift::ctl {

/** The revision that a publish is meant to replace. */
struct ExpectedRevision {
    /** Nothing: the service never was. */
    std::optional<Offset> revision;

    [[nodiscard]] bool operator==(const ExpectedRevision&) const = default;
};

/** Who publishes, and against what. */
struct PublishOrder {
    std::string author;
    /** Nothing: whatever is in force when the command reads it. */
    std::optional<ExpectedRevision> expected;
};

/** @brief Checks a service's document without publishing it. */
[[nodiscard]] Report checkDocument(const std::string& text, const std::string& source);

/** @brief Publishes a service's document. The loser of a race is told by whom and what differs. */
[[nodiscard]] Report publish(
    const ChangeContext& context, const PublishOrder& order, const std::string& text, const std::string& source);

/** @brief Takes a service out of force. */
[[nodiscard]] Report withdraw(const ChangeContext& context, const PublishOrder& order, const ServiceName& service);

} // namespace swiftlift::ctl
