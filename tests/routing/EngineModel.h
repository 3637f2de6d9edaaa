#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <vector>

#include "swiftlift/base/Units.h"

namespace swiftlift::routing::test {

/** @brief Parameters of a modelled engine or plain server. */
struct EngineSettings {
    std::size_t slots = 12;
    /** Maximum number of requests that wait. */
    std::size_t queue = 36;
    Tokens memory { 401'573 };
    double speed = 1;
    /** Duration of a step at speed 1, in which each running request gets one token. */
    Duration step { 3'900 };
    /** Tokens of one event of an answer. */
    std::int64_t tokensPerEvent = 9;
};

/** @brief A request as an engine sees it. */
struct EngineRequest {
    std::uint64_t id = 0;
    /** 0: none. */
    std::uint64_t prefix = 0;
    Tokens shared;
    Tokens prompt;
    std::int64_t events = 1;

    /** Prompt tokens that have not been prefilled; set by the engine. */
    Tokens unread = {};
    std::int64_t produced = 0;
    Instant firstEventAt {};
};

/** @brief What happened to a request at an engine. */
struct EngineEvent {
    std::uint64_t id = 0;
    bool ended = false;
    /** Mean time between two events; zero unless `ended`. */
    Duration pace {};
};

/** @brief A simple engine: batches in steps, prefill in chunks between the steps, and a cache of prefixes. */
class EngineModel {
public:
    explicit EngineModel(EngineSettings settings)
        : settings_(settings)
    {
    }

    /** @return False if the queue is full. */
    [[nodiscard]] bool offer(const EngineRequest& request, Instant now);
    /** @brief Executes the steps that end until `now`. */
    void advance(Instant now, std::vector<EngineEvent>& events);
    /** @return True if the requests need more than the memory: a real engine crashes. */
    [[nodiscard]] bool isOverfull() const noexcept { return held_ > settings_.memory; }
    /** @brief Restarts without cache and requests. @return The ids of the lost requests. */
    std::vector<std::uint64_t> crash();
    /** @return Shared tokens that were prefilled because they were not cached here. */
    [[nodiscard]] Tokens prefilledShared() const noexcept { return prefilledShared_; }

private:
    [[nodiscard]] Tokens memoryOf(const EngineRequest& request) const;
    void admit();
    void beginStep(Instant now);
    void endStep(Instant now, std::vector<EngineEvent>& events);
    void cache(const EngineRequest& request);

    EngineSettings settings_;
    std::deque<EngineRequest> waiting_;
    std::list<EngineRequest> running_;
    /** Cached prefixes, the most recently used last. */
    std::list<std::pair<std::uint64_t, Tokens>> cached_;
    Tokens cachedTokens_;
    Tokens held_;
    Tokens prefilledShared_;
    /** The prompt that the current step prefills, and how much of it. */
    EngineRequest* prefilling_ = nullptr;
    Tokens chunk_;
    Instant stepEnd_ {};
    bool stepping_ = false;
};

} // namespace swiftlift::routing::test
