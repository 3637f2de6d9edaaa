#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/routing/Announcement.h"

namespace swiftlift::routing {

/** @brief Why a backend server accepts only so many requests a second from the whole fleet. */
enum class LimitCause : std::uint8_t {
    /** It has just started. */
    Cold,
    /** It names a limit in its answers. */
    Announced,
    /** It crashes if it has to turn many requests away, or may do so: this router has filled its part of its room. */
    Brittle,
};

/** @brief The causes for which what a server gets in a time is bounded, rather than what is in progress there. */
inline constexpr std::array limitCauses { LimitCause::Cold, LimitCause::Announced };

/** @brief A backend server's time as a cold one. */
struct ColdPeriod {
    /** When the server is warm. */
    Instant until {};
    /** Requests per second that the server bears from the whole fleet; more than 0. */
    double requestsPerSecond = 0;
};

/** @brief A backend server as listed in a service's document. */
struct BackendEntry {
    BackendId backend;
    FailureDomain domain;
    /** Requests that the backend server runs at once; 0 if not listed: estimated from its load reports. */
    std::uint32_t slots = 0;
    /** Start time of the instance: later instances have greater values; 0 if not listed. */
    std::uint64_t instance = 0;
    /** The operators evacuate the server's failure domain: it gets no requests. */
    bool evacuated = false;
    /** Version of the server's software. */
    SoftwareVersion version = {};
    /** Empty if the server is warm. */
    std::optional<ColdPeriod> cold = {};
    /** Tokens of all requests that the engine's memory holds; nullopt: not known, or not an engine. */
    std::optional<Tokens> memory = {};
};

/** @brief A backend server's report on its own load; it shows a moment somewhat before its arrival. */
struct LoadReport {
    /** Requests that run. */
    std::uint32_t running = 0;
    /** Requests that wait at the backend server. */
    std::uint32_t waiting = 0;
    /** Duration of one engine step; zero for a plain service. */
    Duration step {};
    /** Models that the backend server serves. */
    std::vector<std::string> models;
    /** The backend server announces that it will stop serving. */
    bool leaving = false;
    /** Number that grows with each start of the backend server. */
    std::uint64_t generation = 0;
};

enum class CacheChange : std::uint8_t { Stored, Evicted };

/** @brief A change in a backend server's prefix cache. Notices arrive late, and some get lost. */
struct CacheNotice {
    /** Consecutive number of the notice; a gap shows that notices were lost. */
    std::uint64_t sequence = 0;
    CacheChange change = CacheChange::Stored;
    std::uint64_t prefixHash = 0;
};

/** @brief An attempt that this router sends to a backend server. */
struct DispatchFacts {
    /** Hash of the beginning of the prompt; 0 if the request has no prefix. */
    std::uint64_t prefixHash = 0;
    Tokens promptTokens;
    /** Time to first token that the selector predicted, to be compared with the measured time. */
    Duration predictedFirstToken {};
    /** Maximum memory of the request, in tokens: the whole prompt and the largest possible answer. */
    Tokens memory = {};
    /** Time after which the backend server stops the request by itself; nullopt: not known. */
    std::optional<Duration> timeLeft = std::nullopt;
};

/** @brief How an attempt ended. */
enum class EndKind : std::uint8_t {
    /** The whole answer was received. */
    Completed,
    /** The request was refused before it started: the connection was refused, or the backend server is full. */
    NotStarted,
    /** The request was not started, and the backend server announced that it is leaving. */
    Leaving,
    /** The connection broke, or no data came for too long. */
    Broken,
    /** The backend server answered with a failure: it is reachable, and runs at least some requests. */
    Failed,
    /** This router cancelled the attempt, which shows nothing about the backend server. */
    Cancelled,
};

/** @brief How an attempt ended, and what the answer states about the prompt. */
struct FinishFacts {
    EndKind kind = EndKind::Completed;
    /** Prompt tokens that the answer states; only for a completed attempt. */
    Tokens promptTokens;
    /** Prompt tokens that the engine had cached; only for a completed attempt. */
    Tokens cachedPromptTokens;
    /** What the answer's head states about the backend server; nullopt: no head was received. */
    std::optional<Announcement> announcement = std::nullopt;
    /** Mean time between two events of the answer; nullopt: it had fewer than two. */
    std::optional<Duration> pace = std::nullopt;
    /** False: the request did not reach the backend server, so it can't run there. */
    bool arrived = true;
};

} // namespace swiftlift::routing
