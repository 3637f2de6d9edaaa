#include <algorithm>
#include <utility>

#include "ledger/HolderImpl.h"

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    constexpr Incarnation noWitness {};
    constexpr Tokens none {};
    /** How long after a return for another holder's shortage draws cover only waiting requests. */
    constexpr Duration cautionPeriodAfterReturn = 3s;
    /** Time since the first request of any account after which demand is known and nothing more is preallocated. */
    constexpr Duration demandObservationPeriod = 5s;
    /** Time without an answer after which the part of a grant above its ceiling does not count as free. */
    constexpr Duration witnessTimeout = 500ms;

} // namespace

void HolderImpl::onTick(Instant now, const HolderEnvironment& environment, LedgerActions& actions)
{
    now_ = now;
    if (environment.witness != environment_.witness)
        witnessSince_ = now;
    const bool moved = environment.domains != environment_.domains;
    environment_ = environment;
    if (moved)
        chooseHomes();
    if (environment.logReachable)
        logUnreachableSince_.reset();
    else if (!logUnreachableSince_)
        logUnreachableSince_ = now;
    for (auto& [budget, budgetState] : budgetStates_) {
        budgetState.waitingRequests.expire(now_);
        if (!budgetState.isIdle())
            updateBudget(budget, budgetState, actions);
    }
    flushRaises(actions);
}

void HolderImpl::chooseHomes()
{
    for (auto& [budget, budgetState] : budgetStates_)
        budgetState.homes = BudgetHomes(budget, environment_.domains, self_);
}

void HolderImpl::updateBudget(const BudgetRef& budget, HolderBudgetState& budgetState, LedgerActions& actions)
{
    recordHeldAtStart(budget, budgetState);
    replaceHolderOnlyGrants(budgetState, actions);
    advanceLoans(budgetState, situationOf(budget, budgetState), actions);
    returnSurplus(budgetState, situationOf(budget, budgetState), actions);
    closeIdleGrants(budgetState, situationOf(budget, budgetState), actions);
    draw(budget, budgetState, situationOf(budget, budgetState), actions);
    const BudgetSituation situation = situationOf(budget, budgetState);
    borrow(budget, budgetState, situation, actions);
    raiseCeilings(budgetState, situation, actions);
}

void HolderImpl::recordHeldAtStart(const BudgetRef& budget, HolderBudgetState& budgetState) const
{
    if (!budgetState.preallocated || budgetState.heldAtStart || !environment_.caughtUp)
        return;
    if (const std::optional<BudgetView> view = fold_->budget(budget))
        budgetState.heldAtStart = view->held;
}

BudgetSituation HolderImpl::situationOf(const BudgetRef& budget, const HolderBudgetState& budgetState) const
{
    BudgetSituation situation;
    situation.weighting = budgetState.weighting;
    situation.demand = budgetState.demand.rate(now_);
    situation.fleetRate = budgetState.billed.rate(now_);
    situation.billedRate = budgetState.ownBilled.rate(now_);
    situation.largest = budgetState.demand.largest(now_);
    situation.need = budgetState.waitingRequests.largest();
    situation.smallestNeed = budgetState.waitingRequests.smallest();
    situation.waiting = budgetState.waitingRequests.sum();
    situation.remainder = grantsRemainder(budgetState);
    addFreeTokens(budgetState, situation);
    situation.drawn = budgetState.drawn;
    if (const std::optional<BudgetView> view = fold_->budget(budget)) {
        situation.bought = view->bought;
        situation.available = view->available();
        // A router that restarts under traffic observes demand at once, and a preallocation would take tokens from
        // other routers.
        const bool untouched = view->billed == none || grantsRemainder(budgetState) > none;
        const bool demandUnknown = !firstRequestAt_ || now_ - *firstRequestAt_ < demandObservationPeriod;
        // A prefix of the log says too little of what earlier holders left.
        situation.preallocated = budgetState.heldAtStart && untouched && demandUnknown && environment_.fleetKnown;
        situation.heldAtStart = budgetState.heldAtStart.value_or(none);
    }
    situation.logReachable = environment_.logReachable;
    situation.sharers = budgetState.sharerCount(now_);
    situation.routers = environment_.routers;
    situation.drawOnlyForWaiting = now_ < budgetState.drawOnlyForWaitingUntil;
    situation.othersShortfall = now_ < budgetState.othersShortfallUntil ? budgetState.othersShortfall : none;
    if (budgetState.lastReturnAt)
        situation.sinceReturn = now_ - *budgetState.lastReturnAt;
    if (budgetState.homes.shared())
        situation.routers = budgetState.homes.count();
    if (budgetState.borrowsAll())
        holdNothingAhead(situation);
    return situation;
}

void HolderImpl::holdNothingAhead(BudgetSituation& situation)
{
    situation.demand = 0;
    situation.largest = none;
    situation.preallocated = false;
    situation.drawOnlyForWaiting = true;
}

void HolderImpl::addFreeTokens(const HolderBudgetState& budgetState, BudgetSituation& situation) const
{
    const auto count = [&](Tokens free) {
        situation.free += free;
        situation.largestFree = std::max(situation.largestFree, free);
    };
    for (const std::uint32_t number : budgetState.grants) {
        const HolderGrant& grant = grants_.at(number);
        const bool stuck = grant.raise.refused || isWitnessSilent(grant, witnessTimeout);
        if (!isBillAtRisk(grant))
            count(stuck ? grant.free() : grant.remainder());
    }
    for (const std::uint64_t number : budgetState.loans)
        count(loans_.at(number).free());
}

void HolderImpl::draw(
    const BudgetRef& budget, HolderBudgetState& budgetState, const BudgetSituation& situation, LedgerActions& actions)
{
    if (budgetState.pendingDraw || retired_ || !environment_.logReachable || !fold_->budget(budget))
        return;
    if (environment_.stopping && budgetState.waitingRequests.empty())
        return;
    const std::optional<DrawDecision> decision = policy_->draw(situation);
    if (!decision)
        return;
    // The homes draw for this router. If none of them lends, it draws itself, but never to signal a shortage: the
    // signals of hundreds of routers would fill the log.
    if (budgetState.borrowsAll() && (situation.available < decision->least || !allLendersFailed(budgetState)))
        return;
    if (situation.available < decision->least && !consolidateRemainders(budgetState, situation, actions)) {
        // The ledger will refuse this draw. It is made at intervals as a signal that this holder is short of tokens.
        if (!budgetState.shortageSignals.isDue(now_))
            return;
        budgetState.shortageSignals.onSent(now_);
    }
    const GrantId id { self_, ++lastGrant_ };
    budgetState.pendingDraw = id;
    budgetState.pendingDrawAmount = decision->wanted;
    budgetState.pendingDrawSince = now_;
    budgetState.grants.push_back(id.number);
    grants_.try_emplace(id.number, id, budget);
    const Incarnation witness = policy_->witnessed() ? witnessToName() : noWitness;
    actions.emplace_back(AppendEntry { Draw { id, budget, decision->wanted, decision->least, witness } });
}

// A request is covered by a single grant. When several remainders would cover it only together, they are returned
// first: the returns land before the draw, which then gets them as one grant.
bool HolderImpl::consolidateRemainders(
    const HolderBudgetState& budgetState, const BudgetSituation& situation, LedgerActions& actions)
{
    const Tokens remainder = grantsRemainder(budgetState);
    if (situation.largestFree >= situation.need || situation.available + remainder < situation.need)
        return false;
    returnTokens(budgetState, remainder, actions);
    return true;
}

void HolderImpl::returnSurplus(HolderBudgetState& budgetState, const BudgetSituation& situation, LedgerActions& actions)
{
    if (!budgetState.waitingRequests.empty() || (!environment_.logReachable && !isLeaving()))
        return;
    const Tokens remainder = grantsRemainder(budgetState);
    const Tokens surplus = isLeaving() ? remainder : std::min(policy_->surplus(situation), remainder);
    if (surplus <= none)
        return;
    returnTokens(budgetState, surplus, actions);
    budgetState.lastReturnAt = now_;
    if (situation.othersShortfall > none)
        budgetState.drawOnlyForWaitingUntil = now_ + cautionPeriodAfterReturn;
    budgetState.othersShortfall = none;
}

// Returns the smallest remainders first, so that whole grants can be closed.
void HolderImpl::returnTokens(const HolderBudgetState& budgetState, Tokens amount, LedgerActions& actions)
{
    std::vector<HolderGrant*> open;
    for (const std::uint32_t number : budgetState.grants) {
        if (HolderGrant& grant = grants_.at(number); grant.remainder() > none)
            open.push_back(&grant);
    }
    std::ranges::sort(open, {}, [](const HolderGrant* grant) { return grant->remainder(); });
    for (HolderGrant* const grant : open) {
        const Tokens part = std::min(grant->remainder(), amount);
        if (part == none)
            return;
        amount -= part;
        if (part == grant->remainder() && grant->isIdle()) {
            close(*grant, actions);
            continue;
        }
        grant->returnTokens(part);
        actions.emplace_back(AppendEntry { Return { grant->id(), part } });
    }
}

// Each grant ends with a remainder that is too small for any request. Unless such grants are closed, the number of
// grants to search and the tokens tied up in them grow with every draw.
void HolderImpl::closeIdleGrants(
    const HolderBudgetState& budgetState, const BudgetSituation& situation, LedgerActions& actions)
{
    const bool mayReturnFragments = budgetState.waitingRequests.empty() && situation.logReachable;
    const Tokens minUsefulRemainder = mayReturnFragments ? policy_->minUsefulRemainder(situation) : none;
    for (const std::uint32_t number : budgetState.grants) {
        HolderGrant& grant = grants_.at(number);
        const bool isNewest = number == budgetState.grants.back();
        const bool spent
            = grant.isOpen() && (grant.remainder() == none || (!isNewest && grant.remainder() < minUsefulRemainder));
        const bool closable = spent || grant.state() == HolderGrantState::Sealed || (grant.isOpen() && retired_);
        if (closable && grant.isIdle())
            close(grant, actions);
    }
}

// H5: nothing of the grant may be reserved, lent or still to be billed; every bill was emitted before.
void HolderImpl::close(HolderGrant& grant, LedgerActions& actions)
{
    grant.close();
    actions.emplace_back(AppendEntry { CloseGrant { grant.id() } });
}

Tokens HolderImpl::grantsRemainder(const HolderBudgetState& budgetState) const
{
    Tokens sum;
    for (const std::uint32_t number : budgetState.grants)
        sum += grants_.at(number).remainder();
    return sum;
}

} // namespace swiftlift::ledger::internal
