#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::fleet {

/** @brief Form of an answer. */
enum class AnswerKind : std::uint8_t {
    /** A single body, forwarded once it has been received completely. */
    Whole,
    /** Events with ascending ids, each forwarded on arrival. */
    Events,
};

/** @brief A service that receives a share of a route's requests, in proportion to its weight. */
struct Target {
    ServiceName service;
    std::uint32_t weight = 1;
};

/** @brief Destination of the requests for a host and path prefix, and the rules for handling these requests. */
struct Route {
    RouteName name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    AnswerKind answer = AnswerKind::Whole;
    /** Whether a request may be executed more than once. */
    bool idempotent = false;
    /** Whether another backend server may continue an interrupted answer after the last event received. */
    bool resumable = false;
    /** Whether callers need no key. */
    bool open = false;
    /** Whether requests carry prompts with common prefixes, which engines cache. */
    bool sharesPrefixes = false;
    /** Time after which the caller must have received a final answer. */
    Duration timeLimit = std::chrono::seconds(30);
    /** Target time to the complete answer, or to the first event of an answer of events. */
    Duration objective = std::chrono::seconds(1);
    /** Target for the time between two consecutive events. */
    Duration pauseObjective = std::chrono::seconds(1);
    /** Maximum number of backend servers on which one request may run. */
    std::uint32_t maxServers = 1;
    /** 0 is the most urgent. Accounts may override this value. */
    std::uint32_t urgency = 0;
    std::vector<Target> targets;
};

/** @brief Properties common to all model engines of a service. */
struct EngineFacts {
    /** Maximum number of requests in a batch. */
    std::uint32_t slots = 1;
    /** Output tokens per event; the last event of an answer may have fewer. */
    std::uint32_t tokensPerEvent = 1;
    /** Tokens of all requests and cached prefixes that an engine's memory holds; nullopt: not stated. */
    std::optional<Tokens> memory = {};
};

/** @brief How the backend servers of a service bear requests just after their start, while they are cold. */
struct WarmupFacts {
    /** How long a server is cold after its start. */
    Duration duration {};
    /** Requests per second that a cold server bears from the whole fleet; it crashes at a much higher rate. */
    double requestsPerSecond = 0;
};

/** @brief A set of interchangeable backend servers. */
struct Service {
    ServiceName name;
    /** Empty for a plain service, which has no model engines. */
    std::optional<EngineFacts> engine;
    /** Empty if its servers bear their full load from their start on. */
    std::optional<WarmupFacts> warmup = {};
};

/** @brief A client account: its API keys, urgency and prepaid token budget. */
struct Account {
    AccountId id;
    std::vector<std::string> keys;
    /** Overrides the route's urgency. */
    std::optional<std::uint32_t> urgency;
    /** Total number of tokens that the account may use; empty: unlimited. */
    std::optional<Tokens> budget;
};

/** @brief Size limits and timeouts for callers' requests. */
struct CallerLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    /** Timeout for receiving a complete request header. */
    Duration headerTime = std::chrono::seconds(10);
    /** Timeout for a connection without a request. */
    Duration idleTime = std::chrono::seconds(60);

    [[nodiscard]] bool operator==(const CallerLimits&) const = default;
};

/** @brief An accepted configuration of the whole fleet. */
struct FleetConfig {
    /** Increases with each accepted configuration, not always by one. */
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Account> accounts;
    CallerLimits limits;
};

} // namespace swiftlift::fleet
