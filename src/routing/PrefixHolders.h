#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "swiftlift/base/Units.h"
#include "swiftlift/routing/Selector.h"

namespace swiftlift::routing::internal {

/**
 * @brief Remembers which servers this router saw begin or complete requests with a prefix.
 *
 * Bounded: 16,384 prefixes with four servers each, and 16,384 servers, take about 3.5 MB.
 */
class PrefixHolders {
public:
    /** Servers remembered for a prefix: more replicas of a prefix are seldom useful to one router. */
    static constexpr std::size_t maxHolders = 4;

    /** @brief A server that holds a prefix. */
    struct Holder {
        ServerKey server;
        /** When it was last seen to serve the prefix; unset: the place is free. */
        std::optional<Instant> seenAt;
        /** Tokens that this router had sent there then. */
        Tokens sentBefore;
    };
    using Holders = std::array<Holder, maxHolders>;

    /**
     * @param maxPrefixes Maximum number of prefixes.
     * @param maxServers Maximum number of servers of which it is known how much was sent there.
     */
    explicit PrefixHolders(std::size_t maxPrefixes = 16'384, std::size_t maxServers = 16'384)
        : maxPrefixes_(maxPrefixes)
        , maxServers_(maxServers)
    {
    }

    void onPromptServed(const PromptServed& served, Instant now);

    /** @return The servers that served the prefix; null if none is remembered. */
    [[nodiscard]] const Holders* of(std::uint64_t prefixHash) const;
    /**
     * @param memory Tokens that the server's memory holds; nullopt: not known.
     * @return How certain it is, from 0 to 1, that the server has the prefix cached.
     */
    [[nodiscard]] double trust(const Holder& holder, const std::optional<Tokens>& memory, Instant now) const;

    /** @return Number of prefixes remembered. */
    [[nodiscard]] std::size_t size() const noexcept { return holders_.size(); }

private:
    /** @brief What was sent to a server. */
    struct Sent {
        Tokens tokens;
        Instant at {};
    };

    [[nodiscard]] Tokens countSent(const PromptServed& served, Instant now);
    /** @return True if there is room for the prefix. */
    [[nodiscard]] bool hasRoomFor(std::uint64_t prefixHash) const;
    void forgetOld(Instant now);

    std::size_t maxPrefixes_;
    std::size_t maxServers_;
    std::unordered_map<std::uint64_t, Holders> holders_;
    std::unordered_map<ServerKey, Sent> sent_;
    Instant nextCleanup_ {};
};

} // namespace swiftlift::routing::internal
