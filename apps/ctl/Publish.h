#pragma once

#include <optional>
#include <string>

#include "ctl/Change.h"
#include "ctl/Report.h"
#include "swiftlift/base/Ids.h"

namespace swiftlift::ctl {

/** The revision that a publish replaces. */
struct ExpectedRevision {
    /** `std::nullopt` if the service has never been published. */
    std::optional<Offset> revision;

    [[nodiscard]] bool operator==(const ExpectedRevision&) const = default;
};

/** Author of a publish, and the revision that it replaces. */
struct PublishOrder {
    std::string author;
    /** `std::nullopt`: the revision that is in force when the command reads the log. */
    std::optional<ExpectedRevision> expected;
};

/** @brief Checks a service's document without publishing it. */
[[nodiscard]] Report checkDocument(const std::string& text, const std::string& source);

/**
 * @brief Publishes a service's document.
 * @return The outcome. If another operator's publish came first, it names that operator and the differing lines.
 */
[[nodiscard]] Report publish(
    const ChangeContext& context, const PublishOrder& order, const std::string& text, const std::string& source);

/** @brief Withdraws a service: publishes an empty document for it. */
[[nodiscard]] Report withdraw(const ChangeContext& context, const PublishOrder& order, const ServiceName& service);

} // namespace swiftlift::ctl
