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

/** What an answer consists of. */
enum class AnswerKind : std::uint8_t {
    /** One body, passed on when it has come whole. */
    Whole,
    /** Events with rising ids, passed on as they come. */
    Events,
};

/** One of the services that share a route's requests. */
struct Target {
    ServiceName service;
    std::uint32_t weight = 1;
};

/** Where requests of one host and path go, and how they may be treated. */
struct Route {
    RouteName name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    AnswerKind answer = AnswerKind::Whole;
    /** A request may run more than once. */
    bool idempotent = false;
    /** An answer that broke off may be taken up by another backend server, after its last event. */
    bool resumable = false;
    /** Needs no key. */
    bool open = false;
    /** Requests carry prompts whose shared parts the engines keep. */
    bool sharesPrefixes = false;
    /** After it the caller has to have a final answer. */
    Duration timeLimit = std::chrono::seconds(30);
    /** To the whole answer, or to its first event. */
    Duration objective = std::chrono::seconds(1);
    /** Longest pause between two events that is still on time. */
    Duration pauseObjective = std::chrono::seconds(1);
    /** Backend servers on which one request may run. */
    std::uint32_t maxServers = 1;
    /** 0 is the most urgent. */
    std::uint32_t urgency = 0;
    std::vector<Target> targets;
};

/** What all model engines of a service have in common. */
struct EngineFacts {
    /** Requests in one batch. */
    std::uint32_t slots = 1;
    /** Output tokens in one event, the last one of an answer excepted. */
    std::uint32_t tokensPerEvent = 1;
};

/** A service: backend servers that answer alike. */
struct Service {
    ServiceName name;
    /** Nothing: a plain service. */
    std::optional<EngineFacts> engine;
};

/** A client account: its keys and what it has paid for. */
struct Account {
    AccountId id;
    std::vector<std::string> keys;
    /** Goes before that of the route. */
    std::optional<std::uint32_t> urgency;
    /** Tokens that it may use in all; nothing: not limited. */
    std::optional<Tokens> budget;
};

/** What callers may send, and how long they may take. */
struct CallerLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    Duration headerTime = std::chrono::seconds(10);
    Duration idleTime = std::chrono::seconds(60);

    [[nodiscard]] bool operator==(const CallerLimits&) const = default;
};

/** One accepted configuration of the whole fleet. */
struct FleetConfig {
    /** Rises from one accepted configuration to the next, in uneven steps. */
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Account> accounts;
    CallerLimits limits;
};

} // namespace swiftlift::fleet
