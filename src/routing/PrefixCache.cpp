#include "routing/PrefixCache.h"

#include <algorithm>

namespace swiftlift::routing {

namespace {

    // The hash covers the first 256 bytes of a prompt; that more is shared is known from answers only.
    constexpr Tokens hashedTokens { 64 };
    constexpr double eventTrust = 1.0;
    constexpr double answerTrust = 0.9;
    // After an answer that had none of the expected tokens cached.
    constexpr double missTrust = 0.25;
    constexpr double trustLeftByGap = 0.7;
    constexpr double leastTrust = 0.1;

} // namespace

// The lost events may have been evictions. Routing on as if nothing had been lost shows as answers with no cached
// tokens and uneven load; less trust lets load decide sooner, and entries that many gaps have passed are dropped.
void PrefixCache::distrust()
{
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        entry->trust *= trustLeftByGap;
        if (entry->trust >= leastTrust) {
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
            distrust();
        }
        nextSequence_ = event.sequence + 1;
        if (event.change == CacheChange::Evicted) {
            forget(event.prefixHash);
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
    shrink();
    return entries_.front();
}

void PrefixCache::shrink()
{
    while (entries_.size() > capacity_) {
        index_.erase(entries_.back().prefix);
        entries_.pop_back();
    }
}

void PrefixCache::setCapacity(std::size_t capacity)
{
    capacity_ = capacity;
    shrink();
}

void PrefixCache::forget(std::uint64_t prefix)
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
