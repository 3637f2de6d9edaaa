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
 * @brief Collects the entries of one author for one stream, with one append in flight at most.
 *
 * An append whose answer was lost may have landed, or may land later. Its batch is therefore frozen: it is appended
 * again, the very same, until all of its items have been read back. Items that land twice are ignored by the fold.
 */
class Outbox {
public:
    /**
     * Most bytes of a batch, by sizeBound(). Half of the smallest record that a log has to take (256 KB): some 1,500
     * bills, what a router with 190 requests a second gathers in an outage of 8 s. With 256 items a batch, each read
     * back before the next, a draw stood for 2 to 3 s behind the bills of such an outage.
     */
    static constexpr std::size_t maxBatchBytes = 128 * 1024;
    /** Most items that are copied to a peer at once; bills of a second and a half, in one message of 16 KB. */
    static constexpr std::size_t maxCopyItems = 256;
    /** First wait before a batch is appended again; it doubles with each further time. */
    static constexpr Duration firstRetry = std::chrono::milliseconds { 200 };
    static constexpr Duration longestRetry = std::chrono::seconds { 2 };

    /** @param self The author. */
    explicit Outbox(Incarnation self);

    /**
     * @brief Adds an entry behind those that wait.
     * @return The sequence of its item.
     */
    std::uint64_t add(Entry entry);

    /**
     * @param now Present moment.
     * @return A new batch when none is in flight, the frozen one again when its retry is due; nothing otherwise.
     */
    [[nodiscard]] std::optional<Batch> next(Instant now);

    /** @brief The append failed or timed out. It may land all the same, so it is made again after a wait. */
    void onFailure(Instant now);

    /**
     * @brief The log answers again after an outage: what failed meanwhile is appended again at once.
     *
     * Otherwise it would wait for up to `longestRetry` while callers are refused for a draw that stands behind it.
     */
    void onReachable(Instant now);

    /** @brief The append was answered. It counts only once read back, which is given the longest wait. */
    void onAnswered(Instant now);

    /**
     * @brief An item was read back from the stream; it and its predecessors need no append any more, also when a peer
     * that keeps copies of them has appended them before they were sent from here.
     */
    void onLanded(const Landed& landed, Instant now);

    /** @return Whether every item has landed. */
    [[nodiscard]] bool empty() const noexcept;

    /** @return How many items have not landed. */
    [[nodiscard]] std::size_t pending() const noexcept;

    /** @return The latest sequence given out; 0 before the first. */
    [[nodiscard]] std::uint64_t lastSequence() const noexcept { return lastSequence_; }

    /** @return Items behind `sequence` that have not landed, in order, at most `maxCopyItems`; copies for a peer. */
    [[nodiscard]] Batch copyAfter(std::uint64_t sequence) const;

    /** @return When `next` has to be asked again; nothing when only an event changes its answer. */
    [[nodiscard]] std::optional<Instant> wakeAt() const noexcept;

    /** @return At least as many bytes as the item takes in an encoded batch. */
    [[nodiscard]] static std::size_t sizeBound(const Item& item) noexcept;

private:
    [[nodiscard]] Batch freeze();

    Incarnation self_;
    std::uint64_t lastSequence_ = 0;
    /** Items that no batch has taken yet. */
    std::deque<Item> waiting_;
    /** The batch in flight, whole until its last item has landed. */
    std::optional<Batch> inFlight_;
    /** How many items of the batch in flight have landed. */
    std::size_t landed_ = 0;
    /** The append in flight failed, and has not been made again since. */
    bool failed_ = false;
    Instant retryAt_ {};
    Duration wait_ = firstRetry;
};

} // namespace swiftlift::ledger
