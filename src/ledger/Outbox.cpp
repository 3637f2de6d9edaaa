#include "swiftlift/ledger/Outbox.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "swiftlift/ledger/EntryCodec.h"

namespace swiftlift::ledger {

namespace {

    /** Most bytes of a bill with its origin and sequence: six numbers of eight bytes and three smaller ones, each with
     * its tag. */
    constexpr std::size_t billBound = 86;

} // namespace

Outbox::Outbox(Incarnation self)
    : self_(self)
{
}

std::uint64_t Outbox::add(Entry entry)
{
    ++lastSequence_;
    waiting_.push_back(Item { self_, lastSequence_, std::move(entry) });
    return lastSequence_;
}

std::optional<Batch> Outbox::next(Instant now)
{
    if (inFlight_) {
        if (now < retryAt_)
            return {};
        wait_ = std::min(wait_ * 2, longestRetry);
    } else {
        if (waiting_.empty())
            return {};
        inFlight_ = freeze();
        landed_ = 0;
        wait_ = firstRetry;
    }
    retryAt_ = now + wait_;
    failed_ = false;
    return inFlight_;
}

void Outbox::onFailure(Instant now)
{
    retryAt_ = now + wait_;
    failed_ = true;
}

void Outbox::onReachable(Instant now)
{
    if (!inFlight_ || !failed_)
        return;
    retryAt_ = now;
    wait_ = firstRetry;
}

void Outbox::onAnswered(Instant now)
{
    retryAt_ = now + longestRetry;
    failed_ = false;
}

void Outbox::onLanded(const Landed& landed, Instant)
{
    // A sequence that was never given out is not this author's, and taking its word for it would lose an item.
    if (landed.origin != self_ || landed.sequence > lastSequence_)
        return;
    // A peer that keeps copies may have appended items that wait here. The fold ignores a repeat without a word, so
    // sending them again would wait for ever to read them back.
    while (!waiting_.empty() && waiting_.front().sequence <= landed.sequence)
        waiting_.pop_front();
    if (!inFlight_)
        return;
    const std::uint64_t first = inFlight_->items.front().sequence;
    if (landed.sequence >= first) {
        const auto landedItems = static_cast<std::size_t>(landed.sequence - first + 1);
        landed_ = std::max(landed_, std::min(landedItems, inFlight_->items.size()));
    }
    if (landed_ == inFlight_->items.size())
        inFlight_.reset();
}

bool Outbox::empty() const noexcept { return pending() == 0; }

std::size_t Outbox::pending() const noexcept
{
    return waiting_.size() + (inFlight_ ? inFlight_->items.size() - landed_ : 0);
}

Batch Outbox::copyAfter(std::uint64_t sequence) const
{
    Batch batch;
    const auto take = [&](const Item& item) {
        if (item.sequence > sequence && batch.items.size() < maxCopyItems)
            batch.items.push_back(item);
    };
    if (inFlight_)
        std::for_each(inFlight_->items.begin() + static_cast<std::ptrdiff_t>(landed_), inFlight_->items.end(), take);
    std::for_each(waiting_.begin(), waiting_.end(), take);
    return batch;
}

std::optional<Instant> Outbox::wakeAt() const noexcept { return inFlight_ ? std::optional(retryAt_) : std::nullopt; }

Batch Outbox::freeze()
{
    // One item always goes, whatever its size: a checkpoint may be larger than a batch of bills.
    auto end = waiting_.begin() + 1;
    for (std::size_t bytes = sizeBound(waiting_.front()); end != waiting_.end(); ++end) {
        bytes += sizeBound(*end);
        if (bytes > maxBatchBytes)
            break;
    }
    Batch batch;
    batch.items.assign(std::make_move_iterator(waiting_.begin()), std::make_move_iterator(end));
    waiting_.erase(waiting_.begin(), end);
    return batch;
}

std::size_t Outbox::sizeBound(const Item& item) noexcept
{
    // Origin, sequence, tags and lengths, and the numbers of any entry: eleven fields of at most ten bytes and a tag.
    constexpr std::size_t numbers = 128;
    if (std::holds_alternative<Bill>(item.entry))
        return billBound;
    if (const auto* const checkpoint = std::get_if<Checkpoint>(&item.entry))
        return numbers + checkpoint->state.size();
    return numbers + 2 * maxNameBytes + maxKeyHashBytes;
}

} // namespace swiftlift::ledger
