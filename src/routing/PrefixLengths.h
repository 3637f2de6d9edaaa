#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "swiftlift/base/Units.h"

namespace swiftlift::routing {

/**
 * @brief Number of tokens that requests with the same prefix hash share, learnt from the answers of all backend
 * servers.
 *
 * A hash covers only the beginning of a prefix. Without its length, a backend server that has just computed a long
 * prefix would count as having only the hashed beginning cached and would hardly be preferred, so the prefix would be
 * computed again elsewhere; the `affinity` selector would then find hardly more cached tokens than a random choice.
 */
class PrefixLengths {
public:
    /** @param capacity Number of most recent prefixes that are always remembered; at most twice as many are stored. */
    explicit PrefixLengths(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    /** @brief Records how many tokens of a prompt with this prefix an answer had cached. */
    void add(std::uint64_t prefix, Tokens cached);

    /** @return Shared tokens of the prefix; nothing if no recent answer had it cached. */
    [[nodiscard]] std::optional<Tokens> of(std::uint64_t prefix) const;

private:
    using Lengths = std::unordered_map<std::uint64_t, Tokens>;

    std::size_t capacity_;
    Lengths recent_;
    /** The previous content of `recent_`; discarded when `recent_` is full again. */
    Lengths older_;
};

} // namespace swiftlift::routing
