#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "swiftlift/base/Units.h"

namespace swiftlift::routing {

/**
 * @brief How many tokens requests with one prefix hash have in common, learnt from the answers of all backend servers.
 *
 * A hash covers only the beginning of a prefix. What goes wrong without the rest: of a backend server that has just
 * computed a long prefix, only the hashed beginning is known, so it seems hardly better than one without it, and the
 * prefix is computed again elsewhere. It shows as few cached tokens under affinity, hardly more than at random.
 */
class PrefixLengths {
public:
    /** @param capacity Prefixes remembered for sure; at most twice as many are. */
    explicit PrefixLengths(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    /** @brief An answer had so many tokens cached. */
    void add(std::uint64_t prefix, Tokens cached);

    /** @return Nothing for a prefix that no answer has had cached of late. */
    [[nodiscard]] std::optional<Tokens> of(std::uint64_t prefix) const;

private:
    using Lengths = std::unordered_map<std::uint64_t, Tokens>;

    std::size_t capacity_;
    Lengths recent_;
    /** What was recent before; forgotten when `recent_` is full again. */
    Lengths older_;
};

} // namespace swiftlift::routing
