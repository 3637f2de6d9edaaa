#include "swiftlift/placement/OrderLease.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace swiftlift::placement {

namespace internal {

    /** Renewals per lease time; two in a row may fail before the lease runs out. */
    constexpr int renewalsPerLease = 3;

} // namespace internal

const char* toText(LeaseChangeKind kind) noexcept
{
    switch (kind) {
    case LeaseChangeKind::Taken:
        return "taken";
    case LeaseChangeKind::OtherTook:
        return "other_took";
    case LeaseChangeKind::Lapsed:
        return "lapsed";
    case LeaseChangeKind::Resumed:
        return "resumed";
    case LeaseChangeKind::Stale:
        return "stale";
    case LeaseChangeKind::Forgotten:
        return "forgotten";
    case LeaseChangeKind::LaterRules:
        return "later_rules";
    }
    return "";
}

OrderLease::OrderLease(Incarnation self, LeaseSettings settings, std::uint64_t seed)
    : self_(self)
    , settings_(settings)
    , random_(seed)
{
    assert(settings_.leaseTime > Duration {} && "the lease time must be positive");
}

void OrderLease::onRecord(Offset offset, const Record& record, Instant now)
{
    if (const auto* claim = std::get_if<Claim>(&record)) {
        onClaim(offset, *claim, now);
        return;
    }
    fold_.skip(offset);
    if (std::holds_alternative<LaterRules>(record) && !laterRules_) {
        laterRules_ = true;
        addChange(LeaseChangeKind::LaterRules);
    }
}

void OrderLease::onClaim(Offset offset, const Claim& claim, Instant now)
{
    const std::optional<LeaseTerm> before = fold_.leaseTerm();
    if (!fold_.apply(offset, claim)) {
        return;
    }
    winnerReadAt_ = now;
    stagger_.reset();
    leaseStart_.reset();
    if (claim.holder == self_) {
        // The lease counts from when this append was sent. An append can be delayed, for example by a minute, before it
        // reaches the log. If the lease counted from now, it would still hold after the other routers' wait is over.
        if (const auto found = claimSentAt_.find(claim.sequence); found != claimSentAt_.end()) {
            leaseStart_ = found->second;
            claimSentAt_.erase(claimSentAt_.begin(), std::next(found));
        }
    }
    noteLeaseTerm(before);
}

void OrderLease::noteLeaseTerm(const std::optional<LeaseTerm>& before)
{
    const bool same = before && before->fencing == fencing();
    if (!same) {
        addChange(isOwn() ? LeaseChangeKind::Taken : LeaseChangeKind::OtherTook);
        couldIssueOrders_ = isOwn();
    }
}

void OrderLease::updateLapse(Instant now)
{
    const bool can = mayIssueOrders(now);
    if (can == couldIssueOrders_) {
        return;
    }
    couldIssueOrders_ = can;
    addChange(can ? LeaseChangeKind::Resumed : LeaseChangeKind::Lapsed);
}

void OrderLease::addChange(LeaseChangeKind kind)
{
    const auto& leaseTerm = fold_.leaseTerm();
    changes_.push_back({ kind, leaseTerm ? leaseTerm->holder : Incarnation {}, fencing() });
}

void OrderLease::onCaughtUp(Instant now)
{
    if (!caughtUpAt_) {
        caughtUpAt_ = now;
    }
}

void OrderLease::onExpired(Offset oldest)
{
    fold_.restart(oldest);
    caughtUpAt_.reset();
    leaseStart_.reset();
    stagger_.reset();
    couldIssueOrders_ = false;
    addChange(LeaseChangeKind::Forgotten);
}

void OrderLease::onStale(std::uint64_t fencing)
{
    if (!isOwn() || fencing <= this->fencing()) {
        return;
    }
    endedFencing_ = this->fencing();
    couldIssueOrders_ = false;
    addChange(LeaseChangeKind::Stale);
}

bool OrderLease::isOwn() const noexcept
{
    const auto& leaseTerm = fold_.leaseTerm();
    return leaseTerm && leaseTerm->holder == self_ && leaseTerm->fencing != endedFencing_;
}

bool OrderLease::mayIssueOrders(Instant now) const noexcept
{
    const auto end = until();
    return end && now < *end;
}

std::optional<Instant> OrderLease::until() const noexcept
{
    const bool holds = isOwn() && !laterRules_ && leaseStart_;
    return holds ? std::optional(*leaseStart_ + settings_.leaseTime) : std::nullopt;
}

std::optional<Claim> OrderLease::due(bool eligible, Instant now)
{
    updateLapse(now);
    const bool mayClaim = eligible && caughtUpAt_ && !laterRules_;
    if (!mayClaim) {
        stagger_.reset();
        return std::nullopt;
    }
    // While an append is unanswered, the router waits longer, but not for ever: the answer may never come.
    const Duration pause = appendInFlight_ ? settings_.leaseTime / 2 : settings_.retryPeriod;
    const bool pausing = lastSequence_ > 0 && now < lastSent_ + pause;
    if (isOwn()) {
        return renewalDue(now) && !pausing ? std::optional(makeClaim(fencing(), now)) : std::nullopt;
    }
    return claimDue(now) && !pausing ? std::optional(makeClaim(0, now)) : std::nullopt;
}

bool OrderLease::renewalDue(Instant now) const noexcept
{
    return !leaseStart_ || now >= *leaseStart_ + settings_.leaseTime / internal::renewalsPerLease;
}

Instant OrderLease::claimableFrom() const noexcept
{
    const Duration wait = settings_.leaseTime + settings_.grace;
    if (fold_.leaseTerm()) {
        return winnerReadAt_ + wait;
    }
    return fold_.unknown() ? *caughtUpAt_ + wait : *caughtUpAt_;
}

bool OrderLease::claimDue(Instant now)
{
    if (now < claimableFrom()) {
        return false;
    }
    if (!stagger_) {
        const auto choices = static_cast<std::uint64_t>(settings_.maxStagger.count()) + 1;
        const Duration wait { static_cast<Duration::rep>(random_() % choices) };
        stagger_ = (now - claimableFrom()) + wait;
    }
    return now >= claimableFrom() + *stagger_;
}

Claim OrderLease::makeClaim(std::uint64_t fencing, Instant now)
{
    appendInFlight_ = true;
    lastSent_ = now;
    ++lastSequence_;
    std::erase_if(claimSentAt_, [&](const auto& entry) { return entry.second + settings_.leaseTime <= now; });
    claimSentAt_[lastSequence_] = now;
    return { self_, fold_.replaces(), fencing, lastSequence_ };
}

std::vector<LeaseChange> OrderLease::takeChanges() { return std::exchange(changes_, {}); }

} // namespace swiftlift::placement
