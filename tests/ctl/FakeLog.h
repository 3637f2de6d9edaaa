#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "ctl/Log.h"
#include "ctl/PollTimer.h"

namespace swiftlift::ctl::test {

/** In-memory log that injects failures. */
class FakeLog final : public Log {
public:
    /** Called once, before the next append; simulates a concurrent writer. */
    std::function<void()> beforeAppend;
    /** Number of next appends that take effect but whose answers are lost. */
    int loseAnswers = 0;
    /** Number of next appends that are delayed until landLate() is called. */
    int delayAppends = 0;
    bool unreadable = false;
    std::uint64_t oldest = 0;
    int appends = 0;

    [[nodiscard]] bool append(const StreamName& stream, const std::string& record) override
    {
        ++appends;
        if (const auto hook = std::exchange(beforeAppend, nullptr)) {
            hook();
        }
        if (delayAppends > 0) {
            --delayAppends;
            late_.emplace_back(stream.value(), record);
            return false;
        }
        put(stream.value(), record);
        return loseAnswers-- <= 0;
    }

    [[nodiscard]] ReadAnswer read(const StreamName& stream, Offset from, Duration) override
    {
        if (unreadable) {
            return ReadFailed { "outage" };
        }
        if (from.value() < oldest) {
            return ReadExpired { Offset(oldest) };
        }
        const auto& records = streams_[stream.value()];
        ReadRecords answer { from, {}, Offset(records.size()) };
        constexpr std::size_t maxRecords = 3;
        for (auto next = from.value(); next < records.size() && answer.records.size() < maxRecords; ++next) {
            answer.records.push_back(records[next]);
        }
        return answer;
    }

    [[nodiscard]] const std::string& lastReason() const noexcept override { return reason_; }

    void put(const std::string& stream, const std::string& record) { streams_[stream].push_back(record); }

    void landLate()
    {
        for (const auto& [stream, record] : late_) {
            put(stream, record);
        }
        late_.clear();
    }

    [[nodiscard]] std::size_t size(const std::string& stream) { return streams_[stream].size(); }

private:
    std::map<std::string, std::vector<std::string>> streams_;
    std::vector<std::pair<std::string, std::string>> late_;
    std::string reason_ = "no answer";
};

/** Allows a fixed number of further attempts, without waiting. */
class CountedPollTimer final : public PollTimer {
public:
    explicit CountedPollTimer(int attempts)
        : left_(attempts)
    {
    }

    [[nodiscard]] bool waitForNextAttempt() override { return left_-- > 0; }

private:
    int left_;
};

} // namespace swiftlift::ctl::test
