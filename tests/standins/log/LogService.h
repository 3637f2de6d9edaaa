#pragma once

#include <map>
#include <random>
#include <string>

#include "common/Gate.h"
#include "common/Service.h"
#include "log/AppendRate.h"
#include "log/Stream.h"

namespace swiftlift::standins {

struct LogSettings {
    double appendsPerSecond = 300;
    std::uint64_t retainRecords = 1000000;
    std::uint64_t seed = 1;
    /** 1: records past the retention are freed and missing from the audit. */
    std::uint64_t forget = 0;
};

/** Stands in for the platform's append-only log; docs/PROTOCOLS.md, section 4. */
class LogService : public Service {
public:
    explicit LogService(const LogSettings& settings);

    [[nodiscard]] Awaitable<void> serve(Exchange& exchange) override;
    [[nodiscard]] Json audit(const Exchange& exchange) const override;

private:
    struct Counters {
        std::uint64_t appends = 0;
        std::uint64_t rejected = 0;
        std::uint64_t lostAnswers = 0;
        std::uint64_t lateAppends = 0;
        std::uint64_t reads = 0;
        /** Long polls in progress. */
        std::uint64_t waitingReads = 0;
        std::uint64_t expiredReads = 0;
    };

    void addControls();
    void retainAll();
    [[nodiscard]] Awaitable<void> append(Exchange& exchange, const std::string& stream);
    [[nodiscard]] Awaitable<void> appendLate(std::string stream, std::deque<std::string> records, Milliseconds delay);
    [[nodiscard]] Awaitable<void> answerAppend(Exchange& exchange, std::uint64_t offset);
    [[nodiscard]] Awaitable<void> read(Exchange& exchange, Stream& stream);
    [[nodiscard]] std::uint64_t apply(const std::string& stream, std::deque<std::string> records);
    [[nodiscard]] bool losesAnswer();
    [[nodiscard]] Json auditRecords(const std::string& name) const;

    LogSettings settings_;
    Gate gate_;
    AppendRate rate_;
    std::map<std::string, Stream> streams_;
    Counters counters_;
    std::mt19937_64 random_;
    double loseAnswers_ = 0;
    std::uint64_t loseNextAnswers_ = 0;
    double lateMs_ = 0;
    std::uint64_t lateCount_ = 0;
};

} // namespace swiftlift::standins
