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

/** @brief Which prompt prefixes a backend server has cached, as far as late and gappy events and answers tell. */
class PrefixCache {
public:
    PrefixCache(std::size_t capacity, PrefixLengths& lengths)
        : capacity_(capacity)
        , lengths_(&lengths)
    {
    }

    void onEvents(const std::vector<CacheNotice>& events);
    /** @brief A request with this prefix has run: it is cached now, and `cached` tells what was before. */
    void onAnswer(std::uint64_t prefix, Tokens promptTokens, Tokens cached);
    void clear();
    void setCapacity(std::size_t capacity);

    /** @return Tokens of the prompt that need not be computed, weighed by how far the knowledge is trusted. */
    [[nodiscard]] Tokens expected(std::uint64_t prefix, Tokens promptTokens) const;

    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

private:
    struct Entry {
        std::uint64_t prefix = 0;
        double trust = 1;
        /** Of the last answer that had any cached here. */
        std::optional<Tokens> tokens;
    };
    using Entries = std::list<Entry>;

    void shrink();
    Entry& touch(std::uint64_t prefix);
    void forget(std::uint64_t prefix);
    void distrust();

    std::size_t capacity_;
    PrefixLengths* lengths_;
    /** The one used last in front. */
    Entries entries_;
    std::unordered_map<std::uint64_t, Entries::iterator> index_;
    std::optional<std::uint64_t> nextSequence_;
};

} // namespace swiftlift::routing
