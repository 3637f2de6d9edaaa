#pragma once

#include <map>
#include <string>

#include "common/Announcer.h"
#include "common/Gate.h"
#include "common/LoadReport.h"
#include "common/Service.h"
#include "engine/Batch.h"
#include "engine/CacheEvents.h"
#include "engine/EngineSettings.h"
#include "engine/Orders.h"

namespace swiftlift::standins {

/** Stands in for a model engine; docs/PROTOCOLS.md, section 2. */
class EngineService : public Service {
public:
    explicit EngineService(EngineSettings settings);

    [[nodiscard]] Awaitable<void> serve(Exchange& exchange) override;
    [[nodiscard]] Json audit(const Exchange& exchange) const override;
    void start(asio::io_context& context) override;
    void onRestart() override;

private:
    /** A sequence and the stream that carries its tokens to the caller. */
    struct Output {
        std::string key;
        std::string attempt;
        std::shared_ptr<Sequence> sequence;
        /** Tokens written, with those skipped by resuming. */
        std::uint64_t written = 0;
        /** Index of the token at which the stream breaks off. */
        std::uint64_t breakAt = UINT64_MAX;
        bool crossLines = false;
    };

    void addControls();
    [[nodiscard]] Awaitable<void> runSteps();
    [[nodiscard]] Json load() const;
    [[nodiscard]] Output makeOutput(const Exchange& exchange);
    [[nodiscard]] std::uint64_t takeBreak(std::uint64_t from);
    [[nodiscard]] Awaitable<void> generate(Exchange& exchange);
    [[nodiscard]] Awaitable<void> stream(Exchange& exchange, Output& output);
    [[nodiscard]] Awaitable<void> writeTokens(Exchange& exchange, Output& output);
    [[nodiscard]] Awaitable<void> finish(Exchange& exchange, const Output& output);

    EngineSettings settings_;
    Gate gate_;
    CacheEvents events_;
    Batch batch_;
    Orders orders_;
    Signal work_;
    std::map<std::string, KeyRecord> keys_;
    std::uint64_t rejected_ = 0;
    Announcer announcer_ { { "X-Limit", "X-Leaving", "X-Brittle" } };
    bool leaving_ = false;
    bool refuse_ = false;
    bool crossLines_ = false;
    std::uint64_t crashes_ = 0;
    double answerDelayMs_ = 0;
    double lateDoneMs_ = 0;
    std::uint64_t failAfterTokens_ = 0;
    std::uint64_t failCount_ = 0;
    /** Last, because it starts as a report on all the others. */
    LoadReport load_;
};

} // namespace swiftlift::standins
