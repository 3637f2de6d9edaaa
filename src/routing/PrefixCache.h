#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "routing/PrefixLengths.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/routing/BackendFacts.h"

namespace swiftlift::routing {

/** @brief Estimates which prompt prefixes a backend server has cached, from cache events, which arrive late and with
 * gaps, and from answers. */
class PrefixCache {
public:
    /**
     * @param capacity Maximum number of prefixes to remember.
     * @param lengths Lengths of prefixes, shared between all backend servers.
     */
    PrefixCache(std::size_t capacity, PrefixLengths& lengths)
        : capacity_(capacity)
        , lengths_(&lengths)
    {
    }

    /** @brief Processes cache events; older events than those processed are ignored, and a gap reduces trust. */
    void onEvents(const std::vector<CacheNotice>& events);
    /**
     * @brief Records that a request completed: its prefix is cached now.
     * @param prefix Hash of the prefix.
     * @param promptTokens Tokens of the prompt.
     * @param cached Tokens of the prompt that had been cached before the request ran.
     */
    void onAnswer(std::uint64_t prefix, Tokens promptTokens, Tokens cached);
    void clear();
    /** @brief Sets the maximum number of prefixes, and forgets those used least recently beyond it. */
    void setCapacity(std::size_t capacity);

    /** @return Expected number of cached tokens of the prompt, multiplied by the trust in the entry. */
    [[nodiscard]] Tokens expected(std::uint64_t prefix, Tokens promptTokens) const;

    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

private:
    struct Entry {
        std::uint64_t prefix = 0;
        /** How reliable the entry is, from 0 to 1. */
        double trust = 1;
        /** Cached tokens of the last answer that had any cached. */
        std::optional<Tokens> tokens;
    };
    using Entries = std::list<Entry>;

    void evictBeyondCapacity();
    /** @return The entry of the prefix, made the most recently used; a new one if there was none. */
    Entry& touch(std::uint64_t prefix);
    void erase(std::uint64_t prefix);
    /** @brief Reduces the trust in all entries after a gap in the events. */
    void reduceTrust();

    std::size_t capacity_;
    PrefixLengths* lengths_;
    /** From the most to the least recently used. */
    Entries entries_;
    std::unordered_map<std::uint64_t, Entries::iterator> index_;
    /** Sequence number of the next cache event if none gets lost. */
    std::optional<std::uint64_t> nextSequence_;
};

} // namespace swiftlift::routing
