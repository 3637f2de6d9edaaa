#include "ledger/HolderDemand.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    /** Half-life of a recorded amount in the rate. */
    constexpr double halfLifeSeconds = 10;
    /** The largest amount is forgotten after one to two of these windows. */
    constexpr Duration largestRequestWindow = 300s;
    /** Time without a retry after which a waiting request is dropped. */
    constexpr Duration waitingRequestLifetime = 2s;
    /** Lower bound of the observation time that a rate is computed over, since a single request does not give a rate.
     */
    constexpr double minObservedSeconds = 5;

    double secondsBetween(Instant from, Instant to)
    {
        return std::chrono::duration<double>(std::max(to - from, Duration {})).count();
    }

} // namespace

void HolderDemand::record(Tokens amount, Instant now)
{
    decayedSum_ = decayedSum_ * std::exp2(-secondsBetween(decayedAt_, now) / halfLifeSeconds)
        + static_cast<double>(amount.value());
    decayedAt_ = now;
    firstRecordedAt_ = firstRecordedAt_.value_or(now);
    noteLargest(amount, now);
}

void HolderDemand::noteLargest(Tokens amount, Instant now)
{
    if (now - windowStart_ >= largestRequestWindow) {
        previousLargest_ = now - windowStart_ >= 2 * largestRequestWindow ? Tokens {} : largest_;
        largest_ = Tokens {};
        windowStart_ = now;
    }
    largest_ = std::max(largest_, amount);
}

void HolderDemand::withdraw(Tokens amount, Instant recordedAt, Instant now)
{
    const double remaining
        = static_cast<double>(amount.value()) * std::exp2(-secondsBetween(recordedAt, now) / halfLifeSeconds);
    const double decayed = decayedSum_ * std::exp2(-secondsBetween(decayedAt_, now) / halfLifeSeconds);
    decayedSum_ = std::max(decayed - remaining, 0.0);
    decayedAt_ = now;
}

double HolderDemand::rate(Instant now) const
{
    if (!firstRecordedAt_)
        return 0;
    const double decayed = decayedSum_ * std::exp2(-secondsBetween(decayedAt_, now) / halfLifeSeconds);
    // A decaying sum reaches its level only after several half-lives. After 3 s of steady demand it is 19% of the rate,
    // so that a router that loses the log then would hold a fifth of what it needs. Dividing by the weight accumulated
    // since the first request removes this bias.
    const double observedSeconds = std::max(secondsBetween(*firstRecordedAt_, now), minObservedSeconds);
    return decayed * std::numbers::ln2 / halfLifeSeconds / (1 - std::exp2(-observedSeconds / halfLifeSeconds));
}

Tokens HolderDemand::largest(Instant now) const
{
    if (now - windowStart_ >= 2 * largestRequestWindow)
        return {};
    return now - windowStart_ >= largestRequestWindow ? largest_ : std::max(largest_, previousLargest_);
}

void HolderDemand::print(std::ostream& out) const
{
    out << "demand " << decayedSum_ << '@' << decayedAt_.time_since_epoch().count() << ' ' << largest_ << ' '
        << previousLargest_ << '@' << windowStart_.time_since_epoch().count() << '\n';
}

bool WaitingRequests::add(RequestKey key, Tokens amount, Instant now)
{
    const auto [found, isNew] = requests_.try_emplace(key, WaitingRequest { amount, now, now });
    found->second.lastTriedAt = now;
    if (isNew) {
        amounts_.insert(amount);
        sum_ += amount;
    }
    return isNew;
}

std::optional<WaitingRequest> WaitingRequests::remove(RequestKey key)
{
    const auto found = requests_.find(key);
    if (found == requests_.end())
        return std::nullopt;
    const WaitingRequest request = found->second;
    removeAmount(request.amount);
    requests_.erase(found);
    return request;
}

void WaitingRequests::expire(Instant now)
{
    for (auto request = requests_.begin(); request != requests_.end();) {
        if (now - request->second.lastTriedAt <= waitingRequestLifetime) {
            ++request;
            continue;
        }
        removeAmount(request->second.amount);
        request = requests_.erase(request);
    }
}

void WaitingRequests::removeAmount(Tokens amount)
{
    amounts_.erase(amounts_.find(amount));
    sum_ -= amount;
}

Tokens WaitingRequests::largest() const { return amounts_.empty() ? Tokens {} : *amounts_.rbegin(); }

Tokens WaitingRequests::smallest() const { return amounts_.empty() ? Tokens {} : *amounts_.begin(); }

Instant WaitingRequests::since(RequestKey key, Instant now) const
{
    const auto found = requests_.find(key);
    return found == requests_.end() ? now : found->second.since;
}

void WaitingRequests::print(std::ostream& out) const
{
    for (const auto& [key, request] : requests_) {
        out << "want " << key.high << ':' << key.low << ' ' << request.amount << ' '
            << request.since.time_since_epoch().count() << ' ' << request.lastTriedAt.time_since_epoch().count()
            << '\n';
    }
}

} // namespace swiftlift::ledger::internal
