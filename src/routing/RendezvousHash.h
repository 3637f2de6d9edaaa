#pragma once

#include <cstdint>
#include <string>

namespace swiftlift::routing::internal {

/** Finalizer of SplitMix64: every bit of the input moves every bit of the result. */
[[nodiscard]] constexpr std::uint64_t mix(std::uint64_t value) noexcept
{
    value += 0x9E3779B97F4A7C15U;
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9U;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBU;
    return value ^ (value >> 31U);
}

/** FNV-1a, which is the same on every router, unlike std::hash. */
[[nodiscard]] inline std::uint64_t hashOf(const std::string& text) noexcept
{
    std::uint64_t hash = 0xCBF29CE484222325U;
    for (const char letter : text) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001B3U;
    }
    return hash;
}

/** @return Rank of the candidate for the key: the candidates with the highest ranks own the key. */
[[nodiscard]] inline std::uint64_t rendezvousRank(std::uint64_t key, const std::string& candidate) noexcept
{
    return mix(key ^ mix(hashOf(candidate)));
}

} // namespace swiftlift::routing::internal
