#include "swiftlift/ledger/Outbox.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "swiftlift/ledger/EntryCodec.h"

namespace swiftlift::ledger {

namespace {

    /** Maximum bytes of an encoded bill with its origin and sequence: six numbers of eight bytes and three smaller
     * numbers, each with its tag. */
    constexpr std::size_t maxBillBytes = 86;

} // namespace

Outbox::Outbox(Incarnation self)
    : self_(self)
{
}

std::uint64_t Outbox::add(Entry entry)
{
    ++lastSequence_;
    queued_.push_back(Item { self_, lastSequence_, std::move(entry) });
    return lastSequence_;
}

std::optional<Batch> Outbox::next(Instant now)
{
    if (inFlight_) {
        if (now < retryAt_)
            return {};
        retryDelay_ = std::min(retryDelay_ * 2, maxRetryDelay);
    } else {
        if (queued_.empty())
            return {};
        inFlight_ = freezeBatch();
        landedInFlight_ = 0;
        retryDelay_ = initialRetryDelay;
    }
    retryAt_ = now + retryDelay_;
    appendFailed_ = false;
    return inFlight_;
}

void Outbox::onFailure(Instant now)
{
    retryAt_ = now + retryDelay_;
    appendFailed_ = true;
}

void Outbox::onReachable(Instant now)
{
    if (!inFlight_ || !appendFailed_)
        return;
    retryAt_ = now;
    retryDelay_ = initialRetryDelay;
}

void Outbox::onAnswered(Instant now)
{
    retryAt_ = now + maxRetryDelay;
    appendFailed_ = false;
}

void Outbox::onLanded(const Landed& landed, Instant)
{
    // An item of another author, or with a sequence that this outbox has not assigned, must not count as landed,
    // because a queued item would then never be appended.
    if (landed.origin != self_ || landed.sequence > lastSequence_)
        return;
    // A replica may have appended queued items from its copies. The fold ignores a repeated item without any effect, so
    // this outbox would append such an item again and again and never see it land.
    while (!queued_.empty() && queued_.front().sequence <= landed.sequence)
        queued_.pop_front();
    if (!inFlight_)
        return;
    const std::uint64_t first = inFlight_->items.front().sequence;
    if (landed.sequence >= first) {
        const auto landedItems = static_cast<std::size_t>(landed.sequence - first + 1);
        landedInFlight_ = std::max(landedInFlight_, std::min(landedItems, inFlight_->items.size()));
    }
    if (landedInFlight_ == inFlight_->items.size())
        inFlight_.reset();
}

bool Outbox::empty() const noexcept { return pending() == 0; }

std::size_t Outbox::pending() const noexcept
{
    return queued_.size() + (inFlight_ ? inFlight_->items.size() - landedInFlight_ : 0);
}

Batch Outbox::copyAfter(std::uint64_t sequence) const
{
    Batch batch;
    const auto addItem = [&](const Item& item) {
        if (item.sequence > sequence && batch.items.size() < maxCopyItems)
            batch.items.push_back(item);
    };
    if (inFlight_)
        std::for_each(
            inFlight_->items.begin() + static_cast<std::ptrdiff_t>(landedInFlight_), inFlight_->items.end(), addItem);
    std::for_each(queued_.begin(), queued_.end(), addItem);
    return batch;
}

std::optional<Instant> Outbox::wakeAt() const noexcept { return inFlight_ ? std::optional(retryAt_) : std::nullopt; }

Batch Outbox::freezeBatch()
{
    // A batch has at least one item, whatever its size: a checkpoint may be larger than `maxBatchBytes`.
    auto end = queued_.begin() + 1;
    for (std::size_t bytes = maxEncodedBytes(queued_.front()); end != queued_.end(); ++end) {
        bytes += maxEncodedBytes(*end);
        if (bytes > maxBatchBytes)
            break;
    }
    Batch batch;
    batch.items.assign(std::make_move_iterator(queued_.begin()), std::make_move_iterator(end));
    queued_.erase(queued_.begin(), end);
    return batch;
}

std::size_t Outbox::maxEncodedBytes(const Item& item) noexcept
{
    // Origin, sequence, tags, lengths and the numbers of any entry: eleven fields of at most ten bytes and a tag each.
    constexpr std::size_t maxNumberBytes = 128;
    if (std::holds_alternative<Bill>(item.entry))
        return maxBillBytes;
    if (const auto* const checkpoint = std::get_if<Checkpoint>(&item.entry))
        return maxNumberBytes + checkpoint->state.size();
    return maxNumberBytes + 2 * maxNameBytes + maxKeyHashBytes;
}

} // namespace swiftlift::ledger
