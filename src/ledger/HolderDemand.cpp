#include "ledger/HolderDemand.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    constexpr double halfLifeSeconds = 10;
    constexpr Duration largestWindow = 300s;
    constexpr Duration wantLifetime = 2s;
    /** Demand seen for less than this is taken to have been seen for this long: one request tells no rate. */
    constexpr double leastSeenSeconds = 5;

    double secondsBetween(Instant from, Instant to)
    {
        return std::chrono::duration<double>(std::max(to - from, Duration {})).count();
    }

} // namespace

void HolderDemand::note(Tokens amount, Instant now)
{
    weight_
        = weight_ * std::exp2(-secondsBetween(weighedAt_, now) / halfLifeSeconds) + static_cast<double>(amount.value());
    weighedAt_ = now;
    firstNoted_ = firstNoted_.value_or(now);
    if (now - windowStart_ >= largestWindow) {
        formerLargest_ = now - windowStart_ >= 2 * largestWindow ? Tokens {} : largest_;
        largest_ = Tokens {};
        windowStart_ = now;
    }
    largest_ = std::max(largest_, amount);
}

void HolderDemand::withdraw(Tokens amount, Instant noted, Instant now)
{
    const double left = static_cast<double>(amount.value()) * std::exp2(-secondsBetween(noted, now) / halfLifeSeconds);
    const double decayed = weight_ * std::exp2(-secondsBetween(weighedAt_, now) / halfLifeSeconds);
    weight_ = std::max(decayed - left, 0.0);
    weighedAt_ = now;
}

double HolderDemand::rate(Instant now) const
{
    if (!firstNoted_)
        return 0;
    const double decayed = weight_ * std::exp2(-secondsBetween(weighedAt_, now) / halfLifeSeconds);
    // A decaying sum reaches its level only after several half-lives: after 3 s of steady demand it stands at 19% of
    // the rate, and a router that then loses the log holds a fifth of what it needs. Divided by the weight that could
    // have come together since the first request, it is right from the start on.
    const double seen = std::max(secondsBetween(*firstNoted_, now), leastSeenSeconds);
    return decayed * std::numbers::ln2 / halfLifeSeconds / (1 - std::exp2(-seen / halfLifeSeconds));
}

Tokens HolderDemand::largest(Instant now) const
{
    if (now - windowStart_ >= 2 * largestWindow)
        return {};
    return now - windowStart_ >= largestWindow ? largest_ : std::max(largest_, formerLargest_);
}

void HolderDemand::print(std::ostream& out) const
{
    out << "demand " << weight_ << '@' << weighedAt_.time_since_epoch().count() << ' ' << largest_ << ' '
        << formerLargest_ << '@' << windowStart_.time_since_epoch().count() << '\n';
}

bool HolderWants::add(RequestKey key, Tokens amount, Instant now)
{
    const auto [found, isNew] = wants_.try_emplace(key, HolderWant { amount, now, now });
    found->second.askedAt = now;
    if (isNew) {
        amounts_.insert(amount);
        sum_ += amount;
    }
    return isNew;
}

std::optional<HolderWant> HolderWants::remove(RequestKey key)
{
    const auto found = wants_.find(key);
    if (found == wants_.end())
        return std::nullopt;
    const HolderWant want = found->second;
    forget(want.amount);
    wants_.erase(found);
    return want;
}

void HolderWants::expire(Instant now)
{
    for (auto want = wants_.begin(); want != wants_.end();) {
        if (now - want->second.askedAt <= wantLifetime) {
            ++want;
            continue;
        }
        forget(want->second.amount);
        want = wants_.erase(want);
    }
}

void HolderWants::forget(Tokens amount)
{
    amounts_.erase(amounts_.find(amount));
    sum_ -= amount;
}

Tokens HolderWants::largest() const { return amounts_.empty() ? Tokens {} : *amounts_.rbegin(); }

Tokens HolderWants::smallest() const { return amounts_.empty() ? Tokens {} : *amounts_.begin(); }

Instant HolderWants::since(RequestKey key, Instant now) const
{
    const auto found = wants_.find(key);
    return found == wants_.end() ? now : found->second.since;
}

void HolderWants::print(std::ostream& out) const
{
    for (const auto& [key, want] : wants_) {
        out << "want " << key.high << ':' << key.low << ' ' << want.amount << ' '
            << want.since.time_since_epoch().count() << ' ' << want.askedAt.time_since_epoch().count() << '\n';
    }
}

} // namespace swiftlift::ledger::internal
