#include "swiftlift/placement/OrderLease.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace swiftlift::placement {

namespace internal {

    /** Renewals in a lease time: two may fail before the lease runs out. */
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
    assert(settings_.leaseTime > Duration {} && "a lease needs a time");
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
        change(LeaseChangeKind::LaterRules);
    }
}

void OrderLease::onClaim(Offset offset, const Claim& claim, Instant now)
{
    const std::optional<LeaseTerm> before = fold_.leaseTerm();
    if (!fold_.apply(offset, claim)) {
        return;
    }
    readAt_ = now;
    stagger_.reset();
    heldFrom_.reset();
    if (claim.holder == self_) {
        // What goes wrong: an append is held up for a minute, lands and is read back. Counted from now, the lease would
        // hold while the others' wait is over. So it counts from when this very append was sent.
        if (const auto found = sent_.find(claim.sequence); found != sent_.end()) {
            heldFrom_ = found->second;
            sent_.erase(sent_.begin(), std::next(found));
        }
    }
    noteLeaseTerm(before);
}

void OrderLease::noteLeaseTerm(const std::optional<LeaseTerm>& before)
{
    const bool same = before && before->fencing == fencing();
    if (!same) {
        change(own() ? LeaseChangeKind::Taken : LeaseChangeKind::OtherTook);
        couldOrder_ = own();
    }
}

void OrderLease::noteLapse(Instant now)
{
    const bool can = mayIssueOrders(now);
    if (can == couldOrder_) {
        return;
    }
    couldOrder_ = can;
    change(can ? LeaseChangeKind::Resumed : LeaseChangeKind::Lapsed);
}

void OrderLease::change(LeaseChangeKind kind)
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
    heldFrom_.reset();
    stagger_.reset();
    couldOrder_ = false;
    change(LeaseChangeKind::Forgotten);
}

void OrderLease::onStale(std::uint64_t fencing)
{
    if (!own() || fencing <= this->fencing()) {
        return;
    }
    endedFencing_ = this->fencing();
    couldOrder_ = false;
    change(LeaseChangeKind::Stale);
}

bool OrderLease::own() const noexcept
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
    const bool holds = own() && !laterRules_ && heldFrom_;
    return holds ? std::optional(*heldFrom_ + settings_.leaseTime) : std::nullopt;
}

std::optional<Claim> OrderLease::due(bool eligible, Instant now)
{
    noteLapse(now);
    const bool mayClaim = eligible && caughtUpAt_ && !laterRules_;
    if (!mayClaim) {
        stagger_.reset();
        return std::nullopt;
    }
    // An append whose answer never comes may not silence this router for good.
    const Duration pause = underWay_ ? settings_.leaseTime / 2 : settings_.retryPeriod;
    const bool pausing = lastSequence_ > 0 && now < lastSent_ + pause;
    if (own()) {
        return renewalDue(now) && !pausing ? std::optional(write(fencing(), now)) : std::nullopt;
    }
    return claimDue(now) && !pausing ? std::optional(write(0, now)) : std::nullopt;
}

bool OrderLease::renewalDue(Instant now) const noexcept
{
    return !heldFrom_ || now >= *heldFrom_ + settings_.leaseTime / internal::renewalsPerLease;
}

Instant OrderLease::freeAt() const noexcept
{
    const Duration wait = settings_.leaseTime + settings_.grace;
    if (fold_.leaseTerm()) {
        return readAt_ + wait;
    }
    return fold_.unknown() ? *caughtUpAt_ + wait : *caughtUpAt_;
}

bool OrderLease::claimDue(Instant now)
{
    if (now < freeAt()) {
        return false;
    }
    if (!stagger_) {
        const auto choices = static_cast<std::uint64_t>(settings_.longestStagger.count()) + 1;
        const Duration wait { static_cast<Duration::rep>(random_() % choices) };
        stagger_ = (now - freeAt()) + wait;
    }
    return now >= freeAt() + *stagger_;
}

Claim OrderLease::write(std::uint64_t fencing, Instant now)
{
    underWay_ = true;
    lastSent_ = now;
    ++lastSequence_;
    std::erase_if(sent_, [&](const auto& entry) { return entry.second + settings_.leaseTime <= now; });
    sent_[lastSequence_] = now;
    return { self_, fold_.replaces(), fencing, lastSequence_ };
}

std::vector<LeaseChange> OrderLease::takeChanges() { return std::exchange(changes_, {}); }

} // namespace swiftlift::placement
