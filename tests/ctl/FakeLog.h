#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "ctl/Log.h"
#include "ctl/Patience.h"

namespace swiftlift::ctl::test {

/** The platform's log in memory, with the failures that a test asks for. */
class FakeLog final : public Log {
public:
    /** Runs before each append, for whoever else writes at that moment. */
    std::function<void()> beforeAppend;
    /** Appends that take effect, but whose answer is lost. */
    int loseAnswers = 0;
    /** Appends that are lost on their way, and land only with landLate(). */
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
        constexpr std::size_t most = 3;
        for (auto next = from.value(); next < records.size() && answer.records.size() < most; ++next) {
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

/** A number of tries, without waiting. */
class CountedPatience final : public Patience {
public:
    explicit CountedPatience(int tries)
        : left_(tries)
    {
    }

    [[nodiscard]] bool pause() override { return left_-- > 0; }

private:
    int left_;
};

} // namespace swiftlift::ctl::test
