#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "node/ReplicaLink.h"
#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/ledger/Entry.h"
#include "swiftlift/ledger/Outbox.h"

namespace swiftlift::node {

/** Items that are due to one keeper. */
struct CopiesDue {
    Incarnation replica;
    ledger::Batch batch;
};

/**
 * @brief Copies of this router's ledger items beyond its failure domain, at two keepers.
 *
 * The second stands in another domain than the first where there is one: what both have outlives the loss of this
 * domain and of either keeper, or its domain, at the same moment.
 */
class RemoteReplicas {
public:
    /** @param first Gets all items. @param second Gets all items, too. */
    void setTarget(std::optional<Incarnation> first, std::optional<Incarnation> second);

    /** @return What is to be sent now, to either; `period` as in ReplicaLink::due(). */
    [[nodiscard]] std::vector<CopiesDue> due(const ledger::Outbox& outbox, Duration period, Instant now);

    /** As ReplicaLink::onCopied(). */
    void onCopied(Incarnation from, std::uint64_t sequence, std::uint64_t last, Instant now);

    /** @return True when a keeper has the item, and each one has it that answers in time. */
    [[nodiscard]] bool secures(std::uint64_t sequence, Instant now) const noexcept;

    /** @return Who has the item, as far as is known. */
    [[nodiscard]] std::vector<Incarnation> replicasOf(std::uint64_t sequence) const;

    /** @return Keepers that answer in time, as far as is known. */
    [[nodiscard]] std::vector<Incarnation> inTouch(Instant now) const;

private:
    ReplicaLink first_;
    ReplicaLink second_;
};

} // namespace swiftlift::node
