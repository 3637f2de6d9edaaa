#include "swiftlift/routing/RetryBudget.h"

#include <algorithm>
#include <chrono>

namespace swiftlift::routing {

namespace {

    using namespace std::chrono_literals;

    // In thousandths of a retry, as `level_`.
    constexpr std::int64_t oneRetry = 1'000;
    constexpr std::int64_t levelPerPercent = oneRetry / 100;
    constexpr std::int64_t maxLevel = 20 * oneRetry;
    constexpr std::int64_t initialLevel = 3 * oneRetry;
    // Time after which one retry is added regardless of the percentage, for services with little traffic.
    constexpr Duration refillTimePerRetry = 5s;
    constexpr int intervalSmoothing = 8;

} // namespace

RetryBudget::RetryBudget(std::uint32_t percent)
    : percent_(percent)
    , level_(percent > 0 ? initialLevel : 0)
{
}

void RetryBudget::refill(Instant now)
{
    if (!started_) {
        started_ = true;
        lastRefill_ = now;
        return;
    }
    if (percent_ == 0) {
        lastRefill_ = now;
        return;
    }
    const std::int64_t refilled = (now - lastRefill_) * oneRetry / refillTimePerRetry;
    level_ = std::min(level_ + refilled, maxLevel);
    lastRefill_ += refillTimePerRetry * refilled / oneRetry;
}

void RetryBudget::onFirstAttempt(Instant now)
{
    refill(now);
    level_ = std::min(level_ + levelPerPercent * percent_, maxLevel);
    if (lastAttempt_ != Instant {}) {
        attemptInterval_ += ((now - lastAttempt_) - attemptInterval_) / intervalSmoothing;
    }
    lastAttempt_ = now;
}

bool RetryBudget::tryRetry(Instant now)
{
    refill(now);
    if (level_ < oneRetry) {
        return false;
    }
    level_ -= oneRetry;
    return true;
}

Duration RetryBudget::retryAfter(Instant /*now*/) const
{
    const std::int64_t missing = std::max<std::int64_t>(oneRetry - level_, 0);
    const Duration timeByRefill = refillTimePerRetry * missing / oneRetry;
    if (percent_ == 0 || attemptInterval_ == Duration {}) {
        return timeByRefill;
    }
    const std::int64_t attempts = (missing + levelPerPercent * percent_ - 1) / (levelPerPercent * percent_);
    return std::min(timeByRefill, attemptInterval_ * attempts);
}

} // namespace swiftlift::routing
