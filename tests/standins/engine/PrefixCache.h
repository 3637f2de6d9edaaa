#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

#include "engine/CacheEvents.h"

namespace swiftlift::standins {

/** Prompts whose state is kept, one for each prefix hash; the least recently used goes first. */
class PrefixCache {
public:
    explicit PrefixCache(CacheEvents& events);

    /** @return How many tokens of the prompt are cached; marks the entry as used. */
    [[nodiscard]] std::uint64_t lookUp(std::string_view prompt);
    /** Keeps the prompt; in place of one with the same prefix hash, unless that is longer. */
    void store(std::string_view prompt);
    /** Evicts until no more than so many tokens are kept. */
    void shrinkTo(std::uint64_t tokens);
    [[nodiscard]] std::uint64_t tokens() const noexcept { return tokens_; }

private:
    struct Entry {
        std::uint64_t hash = 0;
        std::string prompt;
    };
    using Entries = std::list<Entry>;

    CacheEvents& events_;
    /** The most recently used first. */
    Entries entries_;
    std::unordered_map<std::uint64_t, Entries::iterator> byHash_;
    std::uint64_t tokens_ = 0;
};

} // namespace swiftlift::standins
