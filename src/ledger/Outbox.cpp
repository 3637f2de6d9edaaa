#include "swiftlift/ledger/Outbox.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace swiftlift::ledger {

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
    return inFlight_;
}

void Outbox::onFailure(Instant now) { retryAt_ = now + wait_; }

void Outbox::onAnswered(Instant now) { retryAt_ = now + longestRetry; }

void Outbox::onLanded(const Landed& landed, Instant)
{
    // An item behind the batch in flight was never sent. A record that names one is not this author's, and taking its
    // word for it would lose the item.
    if (!inFlight_ || landed.origin != self_ || landed.sequence > inFlight_->items.back().sequence)
        return;
    const std::uint64_t first = inFlight_->items.front().sequence;
    if (landed.sequence >= first)
        landed_ = std::max(landed_, static_cast<std::size_t>(landed.sequence - first + 1));
    if (landed_ == inFlight_->items.size())
        inFlight_.reset();
}

bool Outbox::empty() const noexcept { return pending() == 0; }

std::size_t Outbox::pending() const noexcept
{
    return waiting_.size() + (inFlight_ ? inFlight_->items.size() - landed_ : 0);
}

std::optional<Instant> Outbox::wakeAt() const noexcept { return inFlight_ ? std::optional(retryAt_) : std::nullopt; }

Batch Outbox::freeze()
{
    const auto count = static_cast<std::ptrdiff_t>(std::min(waiting_.size(), maxBatchItems));
    const auto end = waiting_.begin() + count;
    Batch batch;
    batch.items.assign(std::make_move_iterator(waiting_.begin()), std::make_move_iterator(end));
    waiting_.erase(waiting_.begin(), end);
    return batch;
}

} // namespace swiftlift::ledger
