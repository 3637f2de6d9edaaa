#include <algorithm>
#include <utility>

#include "ledger/HolderImpl.h"

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    constexpr Incarnation nobody {};
    constexpr Tokens none {};
    /** After giving back for others' sake, no more is drawn than waits. */
    constexpr Duration cautionAfterReturn = 3s;
    /** After so long with requests of any account, their demand is known, and no stock is kept beyond it. */
    constexpr Duration demandSeen = 5s;
    /** A witness that is silent for this long is not counted on. */
    constexpr Duration witnessPatience = 500ms;

} // namespace

void HolderImpl::onTick(Instant now, const HolderEnvironment& environment, LedgerActions& actions)
{
    now_ = now;
    if (environment.witness != environment_.witness)
        witnessSince_ = now;
    environment_ = environment;
    if (environment.logReachable)
        logLostAt_.reset();
    else if (!logLostAt_)
        logLostAt_ = now;
    for (auto& [budget, desk] : desks_) {
        desk.wants.expire(now_);
        if (!desk.quiet())
            work(budget, desk, actions);
    }
    flushRaises(actions);
}

void HolderImpl::work(const BudgetRef& budget, HolderBudgetState& desk, LedgerActions& actions)
{
    replaceAlone(desk, actions);
    moveLoans(desk, situationOf(budget, desk), actions);
    giveBackSurplus(desk, situationOf(budget, desk), actions);
    closeIdle(desk, situationOf(budget, desk), actions);
    draw(budget, desk, situationOf(budget, desk), actions);
    const BudgetSituation situation = situationOf(budget, desk);
    borrow(budget, desk, situation, actions);
    raiseCeilings(desk, situation, actions);
}

BudgetSituation HolderImpl::situationOf(const BudgetRef& budget, const HolderBudgetState& desk) const
{
    BudgetSituation situation;
    situation.weighting = desk.weighting;
    situation.demand = desk.demand.rate(now_);
    situation.fleetRate = desk.billed.rate(now_);
    situation.largest = desk.demand.largest(now_);
    situation.need = desk.wants.largest();
    situation.smallestNeed = desk.wants.smallest();
    situation.waiting = desk.wants.sum();
    situation.remainder = grantsRemainder(desk);
    countFree(desk, situation);
    situation.drawn = desk.drawn;
    if (const std::optional<BudgetView> view = fold_->budget(budget)) {
        situation.bought = view->bought;
        situation.available = view->available();
        // A router that starts anew amid traffic sees demand at once, and a stock would be what it takes from the
        // others.
        const bool untouched = view->billed == none || grantsRemainder(desk) > none;
        const bool demandUnknown = !busySince_ || now_ - *busySince_ < demandSeen;
        situation.preallocated = desk.preallocated && untouched && demandUnknown;
    }
    situation.logReachable = environment_.logReachable;
    situation.sharers = desk.sharerCount(now_);
    situation.routers = environment_.routers;
    situation.cautious = now_ < desk.cautiousUntil;
    situation.othersShort = now_ < desk.othersShortUntil ? desk.othersShort : none;
    if (desk.returnedAt)
        situation.sinceReturn = now_ - *desk.returnedAt;
    return situation;
}

void HolderImpl::countFree(const HolderBudgetState& desk, BudgetSituation& situation) const
{
    const auto count = [&](Tokens free) {
        situation.free += free;
        situation.largestFree = std::max(situation.largestFree, free);
    };
    for (const std::uint32_t number : desk.grants) {
        const HolderGrant& grant = grants_.at(number);
        const bool stuck = grant.raise.refused || witnessSilent(grant, witnessPatience);
        if (!insecure(grant))
            count(stuck ? grant.free() : grant.remainder());
    }
    for (const std::uint64_t number : desk.loans)
        count(loans_.at(number).free());
}

void HolderImpl::draw(
    const BudgetRef& budget, HolderBudgetState& desk, const BudgetSituation& situation, LedgerActions& actions)
{
    if (desk.drawing || retired_ || !environment_.logReachable || !fold_->budget(budget))
        return;
    if (environment_.stopping && desk.wants.empty())
        return;
    const std::optional<DrawDecision> decision = policy_->draw(situation);
    if (!decision)
        return;
    if (situation.available < decision->least && !gather(desk, situation, actions)) {
        // Nothing can come of it by itself. Made now and then, it tells the others that money is short here.
        if (!desk.signals.due(now_))
            return;
        desk.signals.sent(now_);
    }
    const GrantId id { self_, ++lastGrant_ };
    desk.drawing = id;
    desk.drawingWanted = decision->wanted;
    desk.drawingSince = now_;
    desk.grants.push_back(id.number);
    grants_.try_emplace(id.number, id, budget);
    const Incarnation witness = policy_->witnessed() ? witnessToName() : nobody;
    actions.emplace_back(AppendEntry { Draw { id, budget, decision->wanted, decision->least, witness } });
}

// A request is covered by one grant only. Several remainders that are too small each, but not together, go back first:
// the returns land before the draw, which then gets them as one grant.
bool HolderImpl::gather(const HolderBudgetState& desk, const BudgetSituation& situation, LedgerActions& actions)
{
    const Tokens remainder = grantsRemainder(desk);
    if (situation.largestFree >= situation.need || situation.available + remainder < situation.need)
        return false;
    giveBack(desk, remainder, actions);
    return true;
}

void HolderImpl::giveBackSurplus(HolderBudgetState& desk, const BudgetSituation& situation, LedgerActions& actions)
{
    if (!desk.wants.empty() || (!environment_.logReachable && !leaving()))
        return;
    const Tokens remainder = grantsRemainder(desk);
    const Tokens surplus = leaving() ? remainder : std::min(policy_->surplus(situation), remainder);
    if (surplus <= none)
        return;
    giveBack(desk, surplus, actions);
    desk.returnedAt = now_;
    if (situation.othersShort > none)
        desk.cautiousUntil = now_ + cautionAfterReturn;
    desk.othersShort = none;
}

/** Smallest remainders first, so that whole grants can be closed. */
void HolderImpl::giveBack(const HolderBudgetState& desk, Tokens amount, LedgerActions& actions)
{
    std::vector<HolderGrant*> open;
    for (const std::uint32_t number : desk.grants) {
        if (HolderGrant& grant = grants_.at(number); grant.remainder() > none)
            open.push_back(&grant);
    }
    std::ranges::sort(open, {}, [](const HolderGrant* grant) { return grant->remainder(); });
    for (HolderGrant* const grant : open) {
        const Tokens part = std::min(grant->remainder(), amount);
        if (part == none)
            return;
        amount -= part;
        if (part == grant->remainder() && grant->idle()) {
            close(*grant, actions);
            continue;
        }
        grant->giveBack(part);
        actions.emplace_back(AppendEntry { Return { grant->id(), part } });
    }
}

// Each grant ends with a remainder that no request fits. Kept, they would add up: one more grant to look through and a
// few more tokens out of reach with every draw.
void HolderImpl::closeIdle(const HolderBudgetState& desk, const BudgetSituation& situation, LedgerActions& actions)
{
    const bool mayTidy = desk.wants.empty() && situation.logReachable;
    const Tokens fragment = mayTidy ? policy_->fragment(situation) : none;
    for (const std::uint32_t number : desk.grants) {
        HolderGrant& grant = grants_.at(number);
        const bool isNewest = number == desk.grants.back();
        const bool spent = grant.isOpen() && (grant.remainder() == none || (!isNewest && grant.remainder() < fragment));
        const bool over = spent || grant.state() == HolderGrantState::Sealed || (grant.isOpen() && retired_);
        if (over && grant.idle())
            close(grant, actions);
    }
}

// H5: only when nothing of it is reserved, lent or still to be billed; every bill was emitted before.
void HolderImpl::close(HolderGrant& grant, LedgerActions& actions)
{
    grant.close();
    actions.emplace_back(AppendEntry { CloseGrant { grant.id() } });
}

Tokens HolderImpl::grantsRemainder(const HolderBudgetState& desk) const
{
    Tokens sum;
    for (const std::uint32_t number : desk.grants)
        sum += grants_.at(number).remainder();
    return sum;
}

} // namespace swiftlift::ledger::internal
