#include "ledger/PolicyDemandGrants.h"

#include <algorithm>
#include <cmath>

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    constexpr Tokens none {};
    constexpr double headRoomSeconds = 2;
    constexpr double loanSeconds = 2;
    /** A draw ahead of need takes at most this part of each sharer's equal share. */
    constexpr std::int64_t shareDivisor = 2;
    /**
     * As above, of all that is left, where the watermarks are set: these bound what one router holds. With a share for
     * each router, the one VM of 81 that gets an eighth of the fleet's requests would draw a 160th of the budget at a
     * time, and hold a second's worth when the log is lost 5 s after traffic begins.
     */
    constexpr std::int64_t tightShareDivisor = 2;
    /** Surplus goes back from this multiple of the high watermark on, so that draws and returns don't alternate. */
    constexpr std::int64_t surplusFactor = 2;
    /** As above, in percent, where the watermarks are set: what is held above them is lost with its holder, and a fleet
     * that loses all its routers at once loses all of it. */
    constexpr std::int64_t tightSurplusPercent = 130;
    constexpr Duration tightSurplusPause = 1s;
    constexpr Duration surplusPause = 5s;
    constexpr Duration shortagePause = 500ms;
    /** A signal that money is short takes so long to be read, answered with a return, and read back. */
    constexpr Duration tightReturnPatience = 400ms;
    constexpr std::int64_t wholePercent = 100;
    /** Of the time that a budget still lasts, a router holds at most this share in advance, where the watermarks are
     * set. Held is what a fleet without power loses, and what one place keeps from another: of the last 14 s of a
     * budget 13 s were lost so, now 7 s. */
    constexpr double tightLastingShare = 0.5;
    /** As above, by weighting: what is held lasts through an outage of the log, and what is not is there for those who
     * are left when a failure domain is gone. */
    constexpr double lastingShare = 0.8;
    /** As above, of a high watermark that has shrunk: the low one stands no higher. */
    constexpr double lowShare = 0.75;

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

// A cut from the log may come before demand has been seen, and then nothing can be drawn any more. One notices by
// refusals at routers that live while the budget is untouched. So each router holds its part of a known budget from the
// start on, and what it turns out not to need moves to the others as they run short.
Tokens DemandGrantsPolicy::stock(const BudgetSituation& situation) const
{
    if (!situation.preallocated)
        return none;
    const auto routers = std::max<std::int64_t>(situation.routers, 1);
    return Tokens { situation.bought.value() / wholePercent * settings_.preallocationPercent / routers };
}

// Bills say what a fleet spends seconds after its traffic began. Until then a router without a stock would hold minutes
// of its first requests' demand, and the first few of them the whole of a budget that lasts for seconds: so it takes
// the others to be as busy as itself.
double DemandGrantsPolicy::fleetRateOf(const BudgetSituation& situation) const
{
    if (settings_.watermarks)
        return situation.fleetRate;
    return std::max(situation.fleetRate, situation.demand * std::max(situation.routers, 1U));
}

// What goes wrong otherwise: as a budget comes to its end, the same seconds of demand are an ever larger part of what
// is left of it, until all of it is held somewhere. One notices by refusals with `held` = `bought` while a tenth and
// more was never billed: lost with routers that died, or at routers whose callers have gone elsewhere.
double DemandGrantsPolicy::shrunk(const BudgetSituation& situation) const
{
    const double fleetRate = fleetRateOf(situation);
    if (fleetRate <= 0 || situation.demand <= 0)
        return 1;
    const double unheld = static_cast<double>(situation.available.value()) / fleetRate;
    const double heldHere = static_cast<double>(situation.free.value()) / situation.demand;
    const double share = settings_.watermarks ? tightLastingShare : lastingShare;
    return std::min((unheld + heldHere) * share / watermarks(situation).highSeconds, 1.0);
}

Tokens DemandGrantsPolicy::lowDemand(const BudgetSituation& situation) const
{
    const auto [lowSeconds, highSeconds] = watermarks(situation);
    if (settings_.watermarks)
        return tokensOf(situation.demand, lowSeconds * shrunk(situation));
    return tokensOf(situation.demand, std::min(lowSeconds, highSeconds * shrunk(situation) * lowShare));
}

Tokens DemandGrantsPolicy::low(const BudgetSituation& situation) const
{
    return std::max(lowDemand(situation), situation.largest);
}

Tokens DemandGrantsPolicy::high(const BudgetSituation& situation) const
{
    const Tokens ofDemand = tokensOf(situation.demand, watermarks(situation).highSeconds * shrunk(situation));
    return settings_.watermarks ? std::max(ofDemand, situation.largest) : ofDemand + situation.largest;
}

std::optional<DrawDecision> DemandGrantsPolicy::draw(const BudgetSituation& situation) const
{
    const bool isShort
        = situation.need > none && (situation.largestFree < situation.need || situation.free < situation.waiting);
    const std::int64_t parts = settings_.watermarks ? tightShareDivisor : shareDivisor * situation.sharers;
    const Tokens share { situation.available.value() / parts };
    // What a silent witness holds up is held all the same: drawn for once more, it is half of what is left each time.
    const Tokens held = std::max(situation.free, situation.remainder);
    const Tokens ahead = situation.cautious ? none : std::min(high(situation) + situation.waiting - held, share);
    if (isShort) {
        const Tokens inHand = std::max(situation.need, situation.waiting - situation.free);
        return DrawDecision { std::max(inHand, ahead), situation.smallestNeed };
    }
    const Tokens useful = std::max(situation.largest, Tokens { 1 });
    if (situation.drawn == none && stock(situation) > none && !situation.cautious)
        return DrawDecision { std::max(stock(situation), ahead), Tokens { 1 } };
    if (situation.free >= low(situation) || ahead < useful)
        return {};
    return DrawDecision { ahead, useful };
}

Tokens DemandGrantsPolicy::headRoom(const BudgetSituation& situation) const
{
    // While the log is unreachable no seal can land, so a high ceiling costs nothing and a low one refuses.
    if (!situation.logReachable)
        return situation.remainder;
    return tokensOf(situation.demand, headRoomSeconds) + std::max(situation.largest, situation.waiting);
}

Duration DemandGrantsPolicy::returnPatience() const
{
    return settings_.watermarks ? tightReturnPatience : HoldingPolicy::returnPatience();
}

Tokens DemandGrantsPolicy::surplus(const BudgetSituation& situation) const
{
    if (situation.othersShort > none) {
        if (situation.sinceReturn < shortagePause)
            return none;
        // Routers that start together all draw their stock at once, and some are short since those before them knew of
        // few others yet. What nobody waits for is no reason to give a stock back: the first cut would find it gone.
        return std::clamp(situation.free - stock(situation), none, situation.othersShort);
    }
    const bool tight = settings_.watermarks.has_value();
    const std::int64_t percent = tight ? tightSurplusPercent : surplusFactor * wholePercent;
    const Tokens most = std::max(Tokens { high(situation).value() * percent / wholePercent }, stock(situation));
    if (situation.free <= most || situation.sinceReturn < (tight ? tightSurplusPause : surplusPause))
        return none;
    return situation.free - std::max(high(situation), stock(situation));
}

Tokens DemandGrantsPolicy::loanSize(const BudgetSituation& situation) const
{
    return std::max(situation.need, situation.waiting) + tokensOf(situation.demand, loanSeconds);
}

Tokens DemandGrantsPolicy::lendable(const BudgetSituation& situation) const
{
    // What goes wrong when a lender keeps room for its largest request of late: of 81 routers that hold a few requests'
    // worth each, nobody lends more than half of that; the borrower's loans fit hardly any of its requests, and it asks
    // on and on. One notices by thousands of `loan` lines a second, of less each than most requests need, and by
    // refusals beside them while 87% of the budget is unspent.
    const Tokens unneeded = situation.free - lowDemand(situation);
    if (situation.logReachable)
        return std::max(unneeded, none);
    return std::max(unneeded, Tokens { situation.free.value() / 2 });
}

} // namespace swiftlift::ledger::internal
