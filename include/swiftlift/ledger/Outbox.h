#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/ledger/Entry.h"
#include "swiftlift/ledger/Fold.h"

namespace swiftlift::ledger {

/**
 * @brief Queues the entries of one author for one ledger stream and hands them out in batches, with at most one append
 * in flight.
 *
 * An append whose response was lost may be in the log already, or may reach it later. Its batch is therefore frozen:
 * the identical batch is appended again until all of its items have landed, that is, have been read back from the
 * stream. The fold ignores items that land twice.
 */
class Outbox {
public:
    /**
     * Maximum bytes of a batch, counted by maxEncodedBytes(): half of the 256 KB that every log has to accept as a
     * record. A batch takes some 1,500 bills, as many as a router with 190 requests a second produces in a log outage
     * of 8 s. With batches of 256 items, each read back before the next, a draw waited 2 to 3 s behind the bills of
     * such an outage.
     */
    static constexpr std::size_t maxBatchBytes = 128 * 1024;
    /** Maximum items in one message of copies to a peer: the bills of 1.5 s in some 16 KB. */
    static constexpr std::size_t maxCopyItems = 256;
    /** Delay before the first retry of an append. The delay doubles with each further retry, up to `maxRetryDelay`. */
    static constexpr Duration initialRetryDelay = std::chrono::milliseconds { 200 };
    static constexpr Duration maxRetryDelay = std::chrono::seconds { 2 };

    /** @param self Author of all entries. */
    explicit Outbox(Incarnation self);

    /**
     * @brief Adds an entry at the end of the queue.
     * @return Sequence of the entry's item.
     */
    std::uint64_t add(Entry entry);

    /**
     * @brief Returns the batch that has to be appended now and counts it as in flight.
     * @param now Current time.
     * @return A new batch when none is in flight and the queue is not empty; the batch in flight when its retry is due;
     * `std::nullopt` otherwise.
     */
    [[nodiscard]] std::optional<Batch> next(Instant now);

    /** @brief Handles an append that failed or timed out. The append may still land, so the same batch is retried. */
    void onFailure(Instant now);

    /**
     * @brief Handles the end of a log outage: a failed append becomes due for retry at once.
     *
     * Without this, the retry waits up to `maxRetryDelay`, and requests are refused because a draw is queued behind it.
     */
    void onReachable(Instant now);

    /**
     * @brief Handles the response to an append. The batch stays in flight until its items are read back, for which they
     * have `maxRetryDelay` before the batch is appended again.
     */
    void onAnswered(Instant now);

    /**
     * @brief Handles an item that was read back from the stream: the item and its predecessors need no further append.
     * This includes queued items that a replica has appended from its copies.
     */
    void onLanded(const Landed& landed, Instant now);

    /** @return Whether all items have landed. */
    [[nodiscard]] bool empty() const noexcept;

    /** @return Number of items that have not landed. */
    [[nodiscard]] std::size_t pending() const noexcept;

    /** @return Sequence of the item added last; 0 when none was added. */
    [[nodiscard]] std::uint64_t lastSequence() const noexcept { return lastSequence_; }

    /**
     * @param sequence Sequence of the last item that the peer has.
     * @return The items after `sequence` that have not landed, in order, at most `maxCopyItems`, to be copied to the
     * peer.
     */
    [[nodiscard]] Batch copyAfter(std::uint64_t sequence) const;

    /** @return Time at which the batch in flight is due for retry; `std::nullopt` when no batch is in flight. */
    [[nodiscard]] std::optional<Instant> wakeAt() const noexcept;

    /** @return Upper bound of the bytes that the item takes in an encoded batch. */
    [[nodiscard]] static std::size_t maxEncodedBytes(const Item& item) noexcept;

private:
    /** Removes the first items from the queue, up to `maxBatchBytes`, and returns them as a batch. */
    [[nodiscard]] Batch freezeBatch();

    Incarnation self_;
    std::uint64_t lastSequence_ = 0;
    /** Items that are not part of a batch yet. */
    std::deque<Item> queued_;
    /** The frozen batch. It keeps all of its items until the last one has landed. */
    std::optional<Batch> inFlight_;
    /** Number of items of the batch in flight that have landed. */
    std::size_t landedInFlight_ = 0;
    /** Whether the last append of the batch in flight failed. */
    bool appendFailed_ = false;
    Instant retryAt_ {};
    Duration retryDelay_ = initialRetryDelay;
};

} // namespace swiftlift::ledger
