#pragma once

#include <cstdint>
#include <string>

namespace swiftlift {

namespace internal {

    /** Finalizer of SplitMix64: every bit of the input moves every bit of the result. */
    [[nodiscard]] constexpr std::uint64_t mixBits(std::uint64_t value) noexcept
    {
        value += 0x9E3779B97F4A7C15U;
        value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9U;
        value = (value ^ (value >> 27U)) * 0x94D049BB133111EBU;
        return value ^ (value >> 31U);
    }

} // namespace internal

/** @return FNV-1a of the text, which is the same in every process, unlike std::hash. */
[[nodiscard]] inline std::uint64_t stableHash(const std::string& text) noexcept
{
    std::uint64_t hash = 0xCBF29CE484222325U;
    for (const char letter : text) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001B3U;
    }
    return hash;
}

/**
 * @brief Rank of a candidate for a key by rendezvous hashing (Thaler and Ravishankar 1998).
 *
 * The candidates with the highest ranks own the key. Each key has its own order of candidates, so that keys spread over
 * them and the loss of a candidate moves only the keys that it owned.
 */
[[nodiscard]] constexpr std::uint64_t rendezvousRank(std::uint64_t key, std::uint64_t candidate) noexcept
{
    return internal::mixBits(key ^ internal::mixBits(candidate));
}

} // namespace swiftlift
