#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::routing {

/** A backend server as a service's document names it. */
struct BackendEntry {
    BackendId backend;
    FailureDomain domain;
    /** Requests it runs at once; 0: not told, to be learnt from its reports. */
    std::uint32_t slots = 0;
    /** Differs from one life of it to the next; 0: not told. */
    std::uint64_t instance = 0;
};

/** What a backend server says of itself, with a lag. */
struct LoadReport {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /** Time of one step of the engine; zero for a plain service. */
    Duration step {};
    std::vector<std::string> models;
    bool leaving = false;
    /** Grows with each start of the backend server. */
    std::uint64_t generation = 0;
};

enum class CacheChange : std::uint8_t { Stored, Evicted };

/** Late, and with gaps in the sequence. */
struct CacheNotice {
    std::uint64_t sequence = 0;
    CacheChange change = CacheChange::Stored;
    std::uint64_t prefixHash = 0;
};

/** What this router sends a backend server. */
struct DispatchFacts {
    std::uint64_t prefixHash = 0;
    Tokens promptTokens;
    /** What the choice said, to be compared with what comes. */
    Duration predictedFirstToken {};
};

enum class EndKind : std::uint8_t {
    Completed,
    /** Refused before it started: connection refused, full. */
    NotStarted,
    /** As NotStarted, and the backend server says that it is leaving. */
    Leaving,
    /** Broken off, or silent too long. */
    Broken,
    /** Answered, with a failure: it is reached, and runs at least some requests. */
    Failed,
    /** Given up by this router: says nothing about the backend server. */
    Cancelled,
};

/** How an attempt ended. */
struct FinishFacts {
    EndKind kind = EndKind::Completed;
    /** Of a completed one. */
    Tokens promptTokens;
    /** Of a completed one: prompt tokens that the engine had cached. */
    Tokens cachedPromptTokens;
};

} // namespace swiftlift::routing
