#include "ledger/PolicyDemandGrants.h"

#include <algorithm>
#include <cmath>

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    constexpr Tokens none {};
    /** Headroom of a ceiling, in seconds of demand. */
    constexpr double headroomSeconds = 2;
    /** A draw ahead of need takes at most one part in this many of an equal share per holder of what is available. */
    constexpr std::int64_t shareDivisor = 2;
    /**
     * With configured watermarks, a draw ahead of need takes at most one part in this many of all that is available,
     * since the watermarks already bound what one router holds. With an equal share per router, the one VM of 81 that
     * gets an eighth of the fleet's requests would draw a 160th of the budget at a time, and hold one second of its
     * demand if the log became unreachable 5 s after traffic begins.
     */
    constexpr std::int64_t configuredShareDivisor = 2;
    /** Surplus is returned above this multiple of the high watermark, so that draws and returns don't alternate. */
    constexpr std::int64_t surplusFactor = 2;
    /**
     * With configured watermarks, surplus is returned above this percentage of the high watermark. Tokens held above it
     * are lost if their holder fails, and all of them if all routers of a fleet fail at once.
     */
    constexpr std::int64_t configuredSurplusPercent = 130;
    /** Shortest time between two returns of surplus, with configured watermarks. */
    constexpr Duration configuredSurplusPause = 1s;
    /** Shortest time between two returns of surplus. */
    constexpr Duration surplusPause = 5s;
    /** Shortest time between two returns for another holder's shortage. */
    constexpr Duration shortagePause = 500ms;
    /** Time until a shortage signal is read, answered with a return, and the return is read back. */
    constexpr Duration configuredMaxReturnWait = 400ms;
    constexpr std::int64_t wholePercent = 100;
    /**
     * With configured watermarks, a router holds tokens for at most this share of the time that the budget still lasts.
     * A power failure of the fleet loses what is held, and held tokens can't be spent elsewhere: of the last 14 s of a
     * budget, 13 s were lost without this bound, and 7 s with it.
     */
    constexpr double configuredRemainingTimeShare = 0.5;
    /**
     * The share of the remaining time without configured watermarks: held tokens last through an outage of the log, and
     * the rest remains for the surviving routers when a failure domain fails.
     */
    constexpr double remainingTimeShare = 0.8;
    /** Without configured watermarks, the low watermark is at most this share of the lowered high watermark. */
    constexpr double lowWatermarkShare = 0.75;

    Watermarks watermarksOf(Weighting weighting)
    {
        switch (weighting) {
        case Weighting::Refusals:
            return { 60, 300 };
        case Weighting::Overspend:
            return { 1, 10 };
        case Weighting::Balanced:
            break;
        }
        return { 2, 30 };
    }

    Tokens tokensOf(double perSecond, double seconds)
    {
        return Tokens { static_cast<std::int64_t>(std::llround(perSecond * seconds)) };
    }

} // namespace

DemandGrantsPolicy::DemandGrantsPolicy(const PolicySettings& settings)
    : settings_(settings)
{
}

Watermarks DemandGrantsPolicy::watermarks(const BudgetSituation& situation) const
{
    return settings_.watermarks.value_or(watermarksOf(situation.weighting.value_or(settings_.weighting)));
}

// The log may become unreachable before there was any demand, and then nothing can be drawn: live routers would refuse
// requests while the budget is untouched. So each router holds its part of a known budget from the start, and what it
// does not need goes to other routers when they run short.
//
// It counts from what earlier holders left: those that were killed hold their tokens for good, and fleets that each
// took half of the whole budget would leave the third one nothing. What routers of the same fleet draw meanwhile
// doesn't count, since later ones would get less, and earlier ones return a part.
Tokens DemandGrantsPolicy::preallocation(const BudgetSituation& situation) const
{
    if (!situation.preallocated)
        return none;
    const auto routers = std::max<std::int64_t>(situation.routers, 1);
    const std::int64_t left = situation.bought.value() - std::min(situation.heldAtStart, situation.bought).value();
    return Tokens { left / wholePercent * settings_.preallocationPercent / routers };
}

// The bills show the fleet's rate only seconds after traffic began. Until then, a router without a preallocation would
// hold minutes of the demand of its first requests, and a few routers would hold the whole of a budget that lasts for
// seconds. So the router assumes that the other routers are as busy as itself.
double DemandGrantsPolicy::estimateFleetRate(const BudgetSituation& situation) const
{
    if (settings_.watermarks)
        return situation.fleetRate;
    return std::max(situation.fleetRate, situation.demand * std::max(situation.routers, 1U));
}

// Near the end of a budget, the same seconds of demand are an ever larger part of what is left, until all of it is held
// by some router. Symptom without this bound: refusals with `held` = `bought` although a tenth or more of the budget
// was never billed, because its holders failed or their callers went to other routers.
//
// Both sides of the comparison are in tokens that are billed: requests reserve several times what they are billed in
// the end, so that routers that compared the fleet's bills with their own reservations would together hold several
// times what they leave unheld.
std::optional<Tokens> DemandGrantsPolicy::mostHeld(const BudgetSituation& situation) const
{
    const double fleetRate = estimateFleetRate(situation);
    if (fleetRate <= 0 || situation.demand <= 0)
        return std::nullopt;
    const bool configured = settings_.watermarks.has_value();
    const double ownRate = configured && situation.billedRate > 0 ? situation.billedRate : situation.demand;
    const double ownPartOfUnheld = static_cast<double>(situation.available.value()) * ownRate / fleetRate;
    const double left = ownPartOfUnheld + static_cast<double>(situation.free.value());
    return Tokens { std::llround(left * (configured ? configuredRemainingTimeShare : remainingTimeShare)) };
}

Tokens DemandGrantsPolicy::limited(Tokens tokens, const BudgetSituation& situation) const
{
    return std::min(tokens, mostHeld(situation).value_or(tokens));
}

Tokens DemandGrantsPolicy::lowDemandWatermark(const BudgetSituation& situation) const
{
    const auto [lowSeconds, highSeconds] = watermarks(situation);
    const Tokens high = limited(tokensOf(situation.demand, highSeconds), situation);
    if (settings_.watermarks)
        return tokensOf(static_cast<double>(high.value()), lowSeconds / highSeconds);
    return std::min(
        tokensOf(situation.demand, lowSeconds), tokensOf(static_cast<double>(high.value()), lowWatermarkShare));
}

Tokens DemandGrantsPolicy::lowWatermark(const BudgetSituation& situation) const
{
    return std::max(lowDemandWatermark(situation), situation.largest);
}

Tokens DemandGrantsPolicy::highWatermark(const BudgetSituation& situation) const
{
    const Tokens ofDemand = limited(tokensOf(situation.demand, watermarks(situation).highSeconds), situation);
    return settings_.watermarks ? std::max(ofDemand, situation.largest) : ofDemand + situation.largest;
}

std::optional<DrawDecision> DemandGrantsPolicy::draw(const BudgetSituation& situation) const
{
    const bool isShort
        = situation.need > none && (situation.largestFree < situation.need || situation.free < situation.waiting);
    const std::int64_t parts = settings_.watermarks ? configuredShareDivisor : shareDivisor * situation.sharers;
    const Tokens share { situation.available.value() / parts };
    // Tokens above the ceiling of a silent witness are held as well. Drawing for them again would take half of what is
    // left each time.
    const Tokens heldTokens = std::max(situation.free, situation.remainder);
    const Tokens ahead = situation.drawOnlyForWaiting
        ? none
        : std::min(highWatermark(situation) + situation.waiting - heldTokens, share);
    if (isShort) {
        const Tokens needed = std::max(situation.need, situation.waiting - situation.free);
        return DrawDecision { std::max(needed, ahead), situation.smallestNeed };
    }
    const Tokens minUseful = std::max(situation.largest, Tokens { 1 });
    if (situation.drawn == none && preallocation(situation) > none && !situation.drawOnlyForWaiting)
        return DrawDecision { std::max(preallocation(situation), ahead), Tokens { 1 } };
    if (situation.free >= lowWatermark(situation) || ahead < minUseful)
        return {};
    return DrawDecision { ahead, minUseful };
}

Tokens DemandGrantsPolicy::headroom(const BudgetSituation& situation) const
{
    // While the log is unreachable no seal can land, so a high ceiling costs nothing, and a low one causes refusals.
    if (!situation.logReachable)
        return situation.remainder;
    return tokensOf(situation.demand, headroomSeconds) + std::max(situation.largest, situation.waiting);
}

Duration DemandGrantsPolicy::maxReturnWait() const
{
    return settings_.watermarks ? configuredMaxReturnWait : HoldingPolicy::maxReturnWait();
}

Tokens DemandGrantsPolicy::surplus(const BudgetSituation& situation) const
{
    if (situation.othersShortfall > none) {
        if (situation.sinceReturn < shortagePause)
            return none;
        // Routers that start together all draw their preallocation at once, and some draws are short because earlier
        // ones knew of few other routers. No request waits for these, so the preallocation is kept: otherwise it would
        // be missing when the log first becomes unreachable.
        return std::clamp(situation.free - preallocation(situation), none, situation.othersShortfall);
    }
    const bool hasConfiguredWatermarks = settings_.watermarks.has_value();
    const std::int64_t percent = hasConfiguredWatermarks ? configuredSurplusPercent : surplusFactor * wholePercent;
    const Tokens maxHeld
        = std::max(Tokens { highWatermark(situation).value() * percent / wholePercent }, preallocation(situation));
    if (situation.free <= maxHeld
        || situation.sinceReturn < (hasConfiguredWatermarks ? configuredSurplusPause : surplusPause))
        return none;
    return situation.free - std::max(highWatermark(situation), preallocation(situation));
}

Tokens DemandGrantsPolicy::loanSize(const BudgetSituation& situation) const
{
    return std::max(situation.need, situation.waiting) + tokensOf(situation.demand, settings_.loans.sizeSeconds);
}

Tokens DemandGrantsPolicy::lendable(const BudgetSituation& situation) const
{
    if (settings_.loans.keptSeconds && !situation.logReachable)
        return std::max(situation.free - tokensOf(situation.demand, *settings_.loans.keptSeconds), none);
    // The lender keeps no room for its largest recent request. If it did, none of 81 routers that hold a few requests'
    // worth each would lend more than half of that; the loans would cover hardly any request of the borrower, which
    // would ask again and again. Symptom: thousands of `loan` log lines per second, each of less than most requests
    // need, and refusals while 87% of the budget is unspent.
    const Tokens spare = situation.free - lowDemandWatermark(situation);
    if (situation.logReachable)
        return std::max(spare, none);
    return std::max(spare, Tokens { situation.free.value() / 2 });
}

} // namespace swiftlift::ledger::internal
