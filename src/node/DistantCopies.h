#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "node/CopyRoute.h"
#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/ledger/Entry.h"
#include "swiftlift/ledger/Outbox.h"

namespace swiftlift::node {

/** Items that are due to one keeper. */
struct CopiesDue {
    Incarnation keeper;
    ledger::Batch batch;
};

/**
 * @brief Copies of this router's ledger items beyond its failure domain: at a keeper, and at a standby while the keeper
 * is silent.
 */
class DistantCopies {
public:
    /** @param keeper Gets all items. @param standby Gets them while the keeper owes an acknowledgement too long. */
    void leadTo(std::optional<Incarnation> keeper, std::optional<Incarnation> standby);

    /** @return What is to be sent now, to either; `period` as in CopyRoute::due(). */
    [[nodiscard]] std::vector<CopiesDue> due(const ledger::Outbox& outbox, Duration period, Instant now);

    /** As CopyRoute::onCopied(). */
    void onCopied(Incarnation from, std::uint64_t sequence, std::uint64_t last, Instant now);

    /** @return Who has the item; nothing: nobody that is known of. */
    [[nodiscard]] std::optional<Incarnation> keeperOf(std::uint64_t sequence) const noexcept;

    /** @return True while a keeper or its standby answers in time, as far as is known. */
    [[nodiscard]] bool inTouch(Instant now) const noexcept;

    /** @return Who gets the items at the moment. */
    [[nodiscard]] std::optional<Incarnation> current(Instant now) const noexcept;

private:
    CopyRoute keeper_;
    CopyRoute standby_;
};

} // namespace swiftlift::node
