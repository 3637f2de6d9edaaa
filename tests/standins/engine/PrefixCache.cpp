#include "engine/PrefixCache.h"

#include <algorithm>

#include "engine/Answer.h"

namespace swiftlift::standins {

namespace internal {

    std::uint64_t commonTokens(std::string_view left, std::string_view right)
    {
        const auto [end, ignored] = std::mismatch(left.begin(), left.end(), right.begin(), right.end());
        const auto bytes = static_cast<std::size_t>(end - left.begin());
        return bytes == right.size() ? promptTokenCount(right) : bytes / 4;
    }

} // namespace internal

PrefixCache::PrefixCache(CacheEvents& events)
    : events_(events)
{
}

std::uint64_t PrefixCache::lookUp(std::string_view prompt)
{
    const auto found = byHash_.find(prefixHash(prompt));
    if (found == byHash_.end()) {
        return 0;
    }
    entries_.splice(entries_.begin(), entries_, found->second);
    return internal::commonTokens(found->second->prompt, prompt);
}

void PrefixCache::store(std::string_view prompt)
{
    const auto hash = prefixHash(prompt);
    if (const auto found = byHash_.find(hash); found != byHash_.end()) {
        auto& entry = *found->second;
        entries_.splice(entries_.begin(), entries_, found->second);
        if (prompt.size() > entry.prompt.size()) {
            tokens_ += promptTokenCount(prompt) - promptTokenCount(entry.prompt);
            entry.prompt = prompt;
        }
        return;
    }
    entries_.push_front({ hash, std::string(prompt) });
    byHash_.emplace(hash, entries_.begin());
    tokens_ += promptTokenCount(prompt);
    events_.add("stored", hash);
}

void PrefixCache::shrinkTo(std::uint64_t tokens)
{
    while (tokens_ > tokens && !entries_.empty()) {
        const auto& oldest = entries_.back();
        tokens_ -= promptTokenCount(oldest.prompt);
        events_.add("evicted", oldest.hash);
        byHash_.erase(oldest.hash);
        entries_.pop_back();
    }
}

} // namespace swiftlift::standins
