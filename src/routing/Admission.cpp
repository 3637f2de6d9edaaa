#include "swiftlift/routing/Admission.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace swiftlift::routing {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration assumedFirstToken = 20ms;
    constexpr int firstTokenSmoothing = 8;
    constexpr Duration shortestRetry = 50ms;
    constexpr Duration longestRetry = 30s;
    constexpr Duration unknownRetry = 1s;

    [[nodiscard]] std::string milliseconds(Duration time)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + " ms";
    }

    [[nodiscard]] Duration timeFor(Tokens tokens, double rate)
    {
        const double seconds = static_cast<double>(tokens.value()) / std::max(rate, 1.0);
        const double most = std::chrono::duration<double>(longestRetry).count() * 10;
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(seconds, most)));
    }

} // namespace

Admission::Admission(std::size_t maxWaiting)
    : queue_(maxWaiting)
    , firstToken_(assumedFirstToken)
{
}

AdmissionDecision Admission::admit(const WaitingCall& call, std::optional<Duration> firstToken, Instant now)
{
    AdmissionDecision admitted;
    // A request that went straight on while others wait would pass them, whatever their accounts' shares.
    const bool waits = !firstToken || queue_.size() > 0;
    const Duration wait = waits ? predictedWait(call, now) : Duration {};
    admitted.predictedFirstToken = wait + firstToken.value_or(firstToken_);
    if (now + admitted.predictedFirstToken > call.deadline) {
        admitted.refusal = AdmissionRefusal::DeadlineTooShort;
        admitted.retryAfter = retryAfter(call.account, call.weight, now);
        admitted.detail = "first token expected in " + milliseconds(admitted.predictedFirstToken) + ", deadline in "
            + milliseconds(call.deadline - now);
        return admitted;
    }
    if (!waits) {
        admitted.verdict = AdmissionVerdict::Dispatch;
        return admitted;
    }
    PushResult pushed = queue_.push(call, now);
    if (!pushed.accepted) {
        admitted.refusal = queue_.overShare(call.account, call.weight) ? AdmissionRefusal::AccountOverShare
                                                                       : AdmissionRefusal::Overloaded;
        admitted.retryAfter = retryAfter(call.account, call.weight, now);
        admitted.detail = std::to_string(queue_.sizeOf(call.account)) + " of " + std::to_string(queue_.size())
            + " waiting are this account's";
        return admitted;
    }
    admitted.verdict = AdmissionVerdict::Wait;
    admitted.displaced = std::move(pushed.displaced);
    return admitted;
}

Duration Admission::predictedWait(const WaitingCall& call, Instant now) const
{
    const std::optional<double> rate = queue_.drainRate(now);
    if (!rate) {
        return {};
    }
    return timeFor(queue_.aheadOf(call.account, call.weight, call.priority), *rate);
}

void Admission::onFirstToken(Duration took) { firstToken_ += (took - firstToken_) / firstTokenSmoothing; }

std::vector<CallId> Admission::expire(Instant now) { return queue_.expire(now, minFirstToken()); }

Duration Admission::retryAfter(const AccountId& account, std::uint32_t weight, Instant now) const
{
    const std::optional<double> rate = queue_.drainRate(now);
    if (!rate) {
        return unknownRetry;
    }
    return std::clamp(timeFor(queue_.aheadOf(account, weight, Priority::Batch), *rate), shortestRetry, longestRetry);
}

const char* toText(AdmissionRefusal refusal) noexcept
{
    switch (refusal) {
    case AdmissionRefusal::DeadlineTooShort:
        return "deadline_too_short";
    case AdmissionRefusal::AccountOverShare:
        return "account_over_share";
    case AdmissionRefusal::Overloaded:
        return "overloaded";
    case AdmissionRefusal::None:
        break;
    }
    return "";
}

} // namespace swiftlift::routing
