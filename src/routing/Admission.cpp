#include "swiftlift/routing/Admission.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace swiftlift::routing {

namespace {

    using namespace std::chrono_literals;

    // Assumed time to first token at a backend server until one has been measured.
    constexpr Duration assumedFirstToken = 20ms;
    // A new sample has a weight of 1/8.
    constexpr int firstTokenSmoothing = 8;
    constexpr Duration minRetryAfter = 50ms;
    constexpr Duration maxRetryAfter = 30s;
    // Before a drain rate was measured.
    constexpr Duration defaultRetryAfter = 1s;

    [[nodiscard]] std::string milliseconds(Duration time)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + " ms";
    }

    [[nodiscard]] Duration timeFor(Tokens tokens, double rate)
    {
        const double seconds = static_cast<double>(tokens.value()) / std::max(rate, 1.0);
        const double maxSeconds = std::chrono::duration<double>(maxRetryAfter).count() * 10;
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(seconds, maxSeconds)));
    }

} // namespace

Admission::Admission(std::size_t maxWaiting)
    : queue_(maxWaiting)
    , firstToken_(assumedFirstToken)
{
}

AdmissionDecision Admission::admit(const WaitingCall& call, std::optional<Duration> firstToken, Instant now)
{
    AdmissionDecision decision;
    // If calls wait, a new request has to wait as well: it would overtake them regardless of their accounts' shares.
    const bool waits = !firstToken || queue_.size() > 0;
    const Duration wait = waits ? predictedWait(call, now) : Duration {};
    decision.predictedFirstToken = wait + firstToken.value_or(firstToken_);
    if (now + decision.predictedFirstToken > call.deadline) {
        decision.refusal = AdmissionRefusal::DeadlineTooShort;
        decision.retryAfter = retryAfter(call.account, call.weight, now);
        decision.detail = "first token expected in " + milliseconds(decision.predictedFirstToken) + ", deadline in "
            + milliseconds(call.deadline - now);
        return decision;
    }
    if (!waits) {
        decision.verdict = AdmissionVerdict::Dispatch;
        return decision;
    }
    PushResult pushed = queue_.push(call, now);
    if (!pushed.accepted) {
        decision.refusal = queue_.overShare(call.account, call.weight) ? AdmissionRefusal::AccountOverShare
                                                                       : AdmissionRefusal::Overloaded;
        decision.retryAfter = retryAfter(call.account, call.weight, now);
        decision.detail = std::to_string(queue_.sizeOf(call.account)) + " of " + std::to_string(queue_.size())
            + " waiting calls are of this account";
        return decision;
    }
    decision.verdict = AdmissionVerdict::Wait;
    decision.displaced = std::move(pushed.displaced);
    return decision;
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
        return defaultRetryAfter;
    }
    return std::clamp(timeFor(queue_.aheadOf(account, weight, Priority::Batch), *rate), minRetryAfter, maxRetryAfter);
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
