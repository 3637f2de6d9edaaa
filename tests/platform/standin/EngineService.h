#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "common/Service.h"

namespace swiftlift::platform::standin {

struct EngineSettings {
    /** Its id: one life of it. */
    std::string id = "i-1";
    double wholeMs = 2;
    std::uint64_t events = 5;
    double betweenEventsMs = 2;
    std::uint64_t tokensPerEvent = 7;
};

/**
 * @brief Stands in for an engine of the platform: a stream of events where a request counts tokens, else one body.
 *
 * `POST /control` takes `fail_next` (answers 500 to so many), `break_next` (closes after the first event, or without an
 * answer), `full` (answers 503 and starts nothing), `foreign_next` (sends an answer to another request before its own),
 * `half_event` (with `break_next`: closes within an event) and `id`.
 *
 * `crash_on` names a part of a path: the engine crashes as it runs such a request, takes all others that it has with
 * it, and is back after `down_ms` under a new id.
 */
class EngineService final : public standins::Service {
public:
    /** @param restarted Told the ids of the life that ended and of the new one, on the engine's thread. */
    explicit EngineService(EngineSettings settings,
        std::function<void(const std::string& ended, const std::string& begun)> restarted = {});

    void onRestart() override;
    [[nodiscard]] standins::Awaitable<void> serve(standins::Exchange& exchange) override;
    [[nodiscard]] standins::Json audit(const standins::Exchange& exchange) const override;

private:
    /** What the audit knows of one request. */
    struct Run {
        std::uint64_t runs = 0;
        std::string account;
        std::string resumedAfter;
        bool keySeen = false;
        std::uint64_t events = 0;
        bool cut = false;
    };

    [[nodiscard]] bool refuses(const standins::Exchange& exchange) const;
    [[nodiscard]] standins::Awaitable<void> refuse(standins::Exchange& exchange);
    [[nodiscard]] standins::Awaitable<void> whole(standins::Exchange& exchange, Run& run);
    [[nodiscard]] standins::Awaitable<void> stream(standins::Exchange& exchange, Run& run);
    void sign(standins::Exchange& exchange) const;

    EngineSettings settings_;
    std::function<void(const std::string&, const std::string&)> restarted_;
    std::string firstId_;
    std::uint64_t lives_ = 1;
    std::map<std::string, Run> runs_;
    std::uint64_t refused_ = 0;
    std::uint64_t failNext_ = 0;
    std::uint64_t breakNext_ = 0;
    bool halfEvent_ = false;
    bool full_ = false;
};

} // namespace swiftlift::platform::standin
