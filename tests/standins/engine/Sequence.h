#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/Signal.h"

namespace swiftlift::standins {

/** What the audit knows of one request key. */
struct KeyRecord {
    std::uint64_t started = 0;
    std::uint64_t completed = 0;
    std::uint64_t cancelled = 0;
    /** Streams broken off by `fail_after_tokens`. */
    std::uint64_t broken = 0;
    /** Tokens computed for all attempts, without those skipped by resuming. */
    std::uint64_t tokens = 0;
    std::vector<std::string> attempts;
};

/** One attempt being computed. */
struct Sequence {
    std::string prompt;
    unsigned priority = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t prefillLeft = 0;
    /** Tokens of the answer that exist, with those skipped by resuming. */
    std::uint64_t computed = 0;
    std::uint64_t answerTokens = 0;
    KeyRecord* record = nullptr;
    /** Notified when `computed` has grown. */
    Signal changed;

    [[nodiscard]] bool isComplete() const noexcept { return computed >= answerTokens; }
};

} // namespace swiftlift::standins
