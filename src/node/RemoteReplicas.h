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

/** Items to be sent to one replica. */
struct CopiesDue {
    Incarnation replica;
    ledger::Batch batch;
};

/**
 * @brief Copies of this router's ledger items outside its failure domain, at two remote replicas.
 *
 * The second replica is in another domain than the first where there is one. So items that both have survive the
 * simultaneous loss of this domain and of either replica, or its domain.
 */
class RemoteReplicas {
public:
    /**
     * @brief Sets the replicas. Each is sent all items.
     * @param first The first replica; std::nullopt for none.
     * @param second The second replica; std::nullopt for none.
     */
    void setTarget(std::optional<Incarnation> first, std::optional<Incarnation> second);

    /** @return Items to be sent now, by replica; parameters as in ReplicaLink::takeDueItems(). */
    [[nodiscard]] std::vector<CopiesDue> takeDueCopies(const ledger::Outbox& outbox, Duration period, Instant now);

    /** Handles an acknowledgement; parameters as in ReplicaLink::onCopied(). */
    void onCopied(Incarnation from, std::uint64_t sequence, std::uint64_t last, Instant now);

    /** @return True when at least one replica, and every responsive one, has the item. */
    [[nodiscard]] bool isSecured(std::uint64_t sequence, Instant now) const noexcept;

    /** @return Replicas that have acknowledged the item. */
    [[nodiscard]] std::vector<Incarnation> replicasOf(std::uint64_t sequence) const;

    /** @return Replicas without an overdue acknowledgement. */
    [[nodiscard]] std::vector<Incarnation> responsiveReplicas(Instant now) const;

private:
    ReplicaLink first_;
    ReplicaLink second_;
};

} // namespace swiftlift::node
