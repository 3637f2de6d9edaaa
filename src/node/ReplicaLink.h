#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/ledger/Entry.h"
#include "swiftlift/ledger/Outbox.h"

namespace swiftlift::node {

/**
 * @brief Tracks which of this router's ledger items one replica has been sent and has acknowledged.
 *
 * Decides which items are due; the caller sends them.
 */
class ReplicaLink {
public:
    /**
     * @brief Sets the replica. A new replica is sent all items from the start.
     * @param replica The replica from now on; std::nullopt for none.
     */
    void setTarget(std::optional<Incarnation> replica);

    /**
     * @brief Selects the items to send now, and counts them as sent.
     * @param outbox This router's items that have not been read back.
     * @param period Minimum time between two messages with new items.
     * @return Items to be sent to the replica now; empty when none are due.
     */
    [[nodiscard]] ledger::Batch takeDueItems(const ledger::Outbox& outbox, Duration period, Instant now);

    /**
     * @brief Handles an acknowledgement.
     * @param from The peer that acknowledges; ignored unless it is the replica.
     * @param sequence The peer has all items up to and including this one.
     * @param last The latest sequence in the outbox. An acknowledgement of a later one is invalid and ignored.
     */
    void onCopied(Incarnation from, std::uint64_t sequence, std::uint64_t last, Instant now);

    [[nodiscard]] std::optional<Incarnation> replica() const noexcept { return replica_; }

    /** @return True when the replica has acknowledged the item. */
    [[nodiscard]] bool hasCopyOf(std::uint64_t sequence) const noexcept { return replica_ && sequence <= lastCopied_; }

    /** @return True when there is a replica and no acknowledgement of it is overdue. */
    [[nodiscard]] bool isResponsive(Instant now) const noexcept;

private:
    /** Copies that are not acknowledged within this time are sent again. */
    static constexpr Duration retryPeriod = std::chrono::milliseconds(150);
    /** After this long without a due acknowledgement the replica counts as unresponsive: a hundred round trips to
     * another failure domain of the same region, and a shorter delay than a caller notices at the end of an answer. */
    static constexpr Duration acknowledgementTimeout = std::chrono::milliseconds(100);

    /** A longer gap between two calls of takeDueItems() means that this process was paused: acknowledgements may have
     * arrived and not been processed yet. */
    static constexpr Duration maxStep = std::chrono::milliseconds(50);

    [[nodiscard]] bool isAcknowledgementOverdue(Instant now) const noexcept;
    /** Moves the start of the wait for an acknowledgement by the length of this process's own pause. */
    void excludeOwnPause(Instant now);

    std::optional<Incarnation> replica_;
    /** The replica has acknowledged all items up to this sequence. */
    std::uint64_t lastCopied_ = 0;
    /** All items up to this sequence have been sent. */
    std::uint64_t lastSent_ = 0;
    /** Since when an acknowledgement is due; std::nullopt when none is. */
    std::optional<Instant> awaitingSince_;
    /** When takeDueItems() was called last. */
    std::optional<Instant> lastDueCall_;
    /** An acknowledgement was overdue, and none has arrived since. */
    bool timedOut_ = false;
    Instant nextNew_ {};
    Instant nextRetry_ {};
};

} // namespace swiftlift::node
