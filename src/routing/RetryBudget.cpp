#include "swiftlift/routing/RetryBudget.h"

#include <algorithm>
#include <chrono>

namespace swiftlift::routing {

namespace {

    using namespace std::chrono_literals;

    constexpr std::int64_t oneRetry = 1'000;
    constexpr std::int64_t perPercent = oneRetry / 100;
    constexpr std::int64_t mostSaved = 20 * oneRetry;
    constexpr std::int64_t savedAtStart = 3 * oneRetry;
    // A quiet service may retry once in so long, whatever its percentage.
    constexpr Duration tricklePerRetry = 5s;
    constexpr int paceSmoothing = 8;

} // namespace

RetryBudget::RetryBudget(std::uint32_t percent)
    : percent_(percent)
    , level_(percent > 0 ? savedAtStart : 0)
{
}

void RetryBudget::trickle(Instant now)
{
    if (!started_) {
        started_ = true;
        lastTrickle_ = now;
        return;
    }
    if (percent_ == 0) {
        lastTrickle_ = now;
        return;
    }
    const std::int64_t gained = (now - lastTrickle_) * oneRetry / tricklePerRetry;
    level_ = std::min(level_ + gained, mostSaved);
    lastTrickle_ += tricklePerRetry * gained / oneRetry;
}

void RetryBudget::onFirstAttempt(Instant now)
{
    trickle(now);
    level_ = std::min(level_ + perPercent * percent_, mostSaved);
    if (lastAttempt_ != Instant {}) {
        pace_ += ((now - lastAttempt_) - pace_) / paceSmoothing;
    }
    lastAttempt_ = now;
}

bool RetryBudget::tryRetry(Instant now)
{
    trickle(now);
    if (level_ < oneRetry) {
        return false;
    }
    level_ -= oneRetry;
    return true;
}

Duration RetryBudget::retryAfter(Instant /*now*/) const
{
    const std::int64_t missing = std::max<std::int64_t>(oneRetry - level_, 0);
    const Duration byTime = tricklePerRetry * missing / oneRetry;
    if (percent_ == 0 || pace_ == Duration {}) {
        return byTime;
    }
    const std::int64_t attempts = (missing + perPercent * percent_ - 1) / (perPercent * percent_);
    return std::min(byTime, pace_ * attempts);
}

} // namespace swiftlift::routing
