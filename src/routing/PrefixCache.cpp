#include "routing/PrefixCache.h"

#include <algorithm>

namespace swiftlift::routing {

namespace {

    // The hash covers the first 256 bytes of a prompt; only answers show that more tokens are shared.
    constexpr Tokens hashedTokens { 64 };
    // Trust after a cache event that reports the prefix as stored.
    constexpr double eventTrust = 1.0;
    // Trust after an answer.
    constexpr double answerTrust = 0.9;
    // Trust after an answer that had none of the expected tokens cached.
    constexpr double missTrust = 0.25;
    // Factor by which a gap in the events reduces trust.
    constexpr double gapTrustFactor = 0.7;
    // Entries with less trust are removed.
    constexpr double minTrust = 0.1;

} // namespace

// The lost events may have been evictions. If they were ignored, answers would have no cached tokens and load would be
// uneven. With less trust, load weighs more in the selection, and entries are removed after several gaps.
void PrefixCache::reduceTrust()
{
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        entry->trust *= gapTrustFactor;
        if (entry->trust >= minTrust) {
            ++entry;
            continue;
        }
        index_.erase(entry->prefix);
        entry = entries_.erase(entry);
    }
}

void PrefixCache::onEvents(const std::vector<CacheNotice>& events)
{
    for (const CacheNotice& event : events) {
        if (nextSequence_ && event.sequence < *nextSequence_) {
            continue;
        }
        if (nextSequence_ && event.sequence > *nextSequence_) {
            reduceTrust();
        }
        nextSequence_ = event.sequence + 1;
        if (event.change == CacheChange::Evicted) {
            erase(event.prefixHash);
        } else {
            touch(event.prefixHash).trust = eventTrust;
        }
    }
}

void PrefixCache::onAnswer(std::uint64_t prefix, Tokens promptTokens, Tokens cached)
{
    const bool expectedHit = expected(prefix, promptTokens) > Tokens {};
    Entry& entry = touch(prefix);
    if (cached > Tokens {}) {
        entry.tokens = cached;
        lengths_->add(prefix, cached);
        entry.trust = std::max(entry.trust, answerTrust);
        return;
    }
    entry.trust = expectedHit ? missTrust : answerTrust;
}

PrefixCache::Entry& PrefixCache::touch(std::uint64_t prefix)
{
    if (const auto found = index_.find(prefix); found != index_.end()) {
        entries_.splice(entries_.begin(), entries_, found->second);
        return entries_.front();
    }
    entries_.push_front(Entry { prefix, 0, std::nullopt });
    index_[prefix] = entries_.begin();
    evictBeyondCapacity();
    return entries_.front();
}

void PrefixCache::evictBeyondCapacity()
{
    while (entries_.size() > capacity_) {
        index_.erase(entries_.back().prefix);
        entries_.pop_back();
    }
}

void PrefixCache::setCapacity(std::size_t capacity)
{
    capacity_ = capacity;
    evictBeyondCapacity();
}

void PrefixCache::erase(std::uint64_t prefix)
{
    if (const auto found = index_.find(prefix); found != index_.end()) {
        entries_.erase(found->second);
        index_.erase(found);
    }
}

void PrefixCache::clear()
{
    entries_.clear();
    index_.clear();
    nextSequence_.reset();
}

Tokens PrefixCache::expected(std::uint64_t prefix, Tokens promptTokens) const
{
    const auto found = index_.find(prefix);
    if (found == index_.end()) {
        return Tokens {};
    }
    const Entry& entry = *found->second;
    const Tokens shared = entry.tokens ? *entry.tokens : lengths_->of(prefix).value_or(hashedTokens);
    const auto tokens = static_cast<double>(std::min(promptTokens, shared).value());
    return Tokens { static_cast<std::int64_t>(tokens * entry.trust) };
}

} // namespace swiftlift::routing
