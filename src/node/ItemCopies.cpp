#include "node/ItemCopies.h"

#include "swiftlift/ledger/Outbox.h"

namespace swiftlift::node {

std::optional<std::uint64_t> ItemCopies::keep(const std::vector<ledger::Item>& items, Instant now)
{
    if (items.empty()) {
        return std::nullopt;
    }
    const Incarnation author = items.front().origin;
    Items& kept = copies_[author].items;
    copies_[author].lastSent = now;
    const std::uint64_t landed = fold_->lastSequence(author);
    for (const auto& item : items) {
        const bool fits = item.origin == author && item.sequence > landed && kept.size() < maxItems;
        if (fits) {
            kept.emplace(item.sequence, item);
        }
    }
    return lastContiguous(author, kept);
}

std::uint64_t ItemCopies::lastContiguous(Incarnation author, const Items& items) const
{
    std::uint64_t last = fold_->lastSequence(author);
    for (const auto& [sequence, item] : items) {
        if (sequence > last + 1) {
            break;
        }
        last = sequence;
    }
    return last;
}

ledger::Batch ItemCopies::batchOf(Incarnation author) const
{
    ledger::Batch batch;
    const auto found = copies_.find(author);
    if (found == copies_.end()) {
        return batch;
    }
    const std::uint64_t last = lastContiguous(author, found->second.items);
    for (const auto& [sequence, item] : found->second.items) {
        if (sequence <= last && batch.items.size() < ledger::Outbox::maxCopyItems) {
            batch.items.push_back(item);
        }
    }
    return batch;
}

std::optional<Instant> ItemCopies::lastSent(Incarnation author) const
{
    const auto found = copies_.find(author);
    return found == copies_.end() ? std::nullopt : std::optional(found->second.lastSent);
}

std::vector<Incarnation> ItemCopies::authors() const
{
    std::vector<Incarnation> result;
    for (const auto& [author, kept] : copies_) {
        result.push_back(author);
    }
    return result;
}

void ItemCopies::onLanded(const ledger::Landed& landed)
{
    const auto found = copies_.find(landed.origin);
    if (found == copies_.end()) {
        return;
    }
    Items& items = found->second.items;
    items.erase(items.begin(), items.upper_bound(landed.sequence));
    if (items.empty()) {
        copies_.erase(found);
    }
}

std::size_t ItemCopies::size() const noexcept
{
    std::size_t sum = 0;
    for (const auto& [author, kept] : copies_) {
        sum += kept.items.size();
    }
    return sum;
}

} // namespace swiftlift::node
