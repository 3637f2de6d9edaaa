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
 * @brief The way of copies of this router's ledger items to one keeper, and how far they have come.
 *
 * Which items are due is decided here; sending them is the caller's.
 */
class ReplicaLink {
public:
    /** @param keeper Who keeps the copies from now on; nothing: nobody. Another one gets all items anew. */
    void setTarget(std::optional<Incarnation> replica);

    /**
     * @param period Least time between two messages with new items.
     * @return Items to be sent to the keeper now; empty when none are due.
     */
    [[nodiscard]] ledger::Batch due(const ledger::Outbox& outbox, Duration period, Instant now);

    /**
     * @param sequence All items up to this one are kept by `from`.
     * @param last The latest sequence that was given out; a later one is not this author's.
     */
    void onCopied(Incarnation from, std::uint64_t sequence, std::uint64_t last, Instant now);

    [[nodiscard]] std::optional<Incarnation> replica() const noexcept { return replica_; }

    /** @return True when the keeper has the item. */
    [[nodiscard]] bool holds(std::uint64_t sequence) const noexcept { return replica_ && sequence <= copied_; }

    /** @return True while a keeper answers in time, as far as is known. */
    [[nodiscard]] bool inTouch(Instant now) const noexcept;

private:
    /** Copies that were not acknowledged for so long are sent again. */
    static constexpr Duration retryPeriod = std::chrono::milliseconds(150);
    /** Without an acknowledgement for so long the keeper counts as out of touch: a hundred times the way to another
     * failure domain of the same region and back, and less than a caller notices at the end of an answer. */
    static constexpr Duration patience = std::chrono::milliseconds(100);

    /** A longer gap between two calls of due() is this process's own pause: acknowledgements may lie there unread. */
    static constexpr Duration longestStep = std::chrono::milliseconds(50);

    [[nodiscard]] bool overdue(Instant now) const noexcept;
    void passOverPause(Instant now);

    std::optional<Incarnation> replica_;
    /** The keeper has all items up to this sequence. */
    std::uint64_t copied_ = 0;
    std::uint64_t sent_ = 0;
    /** Since when the keeper owes an acknowledgement. */
    std::optional<Instant> owedSince_;
    /** When due() was asked last. */
    std::optional<Instant> lastLook_;
    /** An acknowledgement was overdue, and none has come since. */
    bool silent_ = false;
    Instant nextNew_ {};
    Instant nextRetry_ {};
};

} // namespace swiftlift::node
