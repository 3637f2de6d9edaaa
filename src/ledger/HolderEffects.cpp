#include <algorithm>
#include <utility>

#include "ledger/HolderImpl.h"

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    /** How long after a short draw of another holder this holder returns tokens for it. */
    constexpr Duration shortageLifetime = 2s;
    /** A new sample of the draw latency has a weight of one in this many: one quarter. */
    constexpr int drawLatencySmoothing = 4;

} // namespace

void HolderImpl::onEffect(const Effect& effect, Instant now, LedgerActions& actions)
{
    now_ = now;
    std::visit([&](const auto& happened) { on(happened, actions); }, effect);
    if (!retired_ && fold_->retired(self_))
        retire("a grant of this incarnation was sealed", actions);
    flushRaises(actions);
}

// Landed is the first effect of an item, so its origin is the author of the bill or draw in the effects that follow.
void HolderImpl::on(const Landed& effect, LedgerActions&) { author_ = effect.origin; }

void HolderImpl::on(const DrawDecided& effect, LedgerActions& actions)
{
    if (effect.grant.holder != self_)
        onOtherDrawDecided(effect, actions);
    else if (author_ == self_)
        onOwnDrawDecided(effect, actions);
}

// H1: a grant becomes usable only here. Before its draw is read back, the fold may have admitted the same tokens to
// another holder.
void HolderImpl::onOwnDrawDecided(const DrawDecided& effect, LedgerActions& actions)
{
    const auto grant = grants_.find(effect.grant.number);
    if (grant == grants_.end() || grant->second.state() != HolderGrantState::Drawing)
        return;
    HolderBudgetState& budgetState = budgetStateOf(effect.budget);
    drawLatency_ += (now_ - budgetState.pendingDrawSince - drawLatency_) / drawLatencySmoothing;
    budgetState.pendingDraw.reset();
    if (effect.admitted == Tokens {}) {
        removeGrant(effect.grant.number);
    } else {
        grant->second.onAdmitted(effect.admitted, effect.witness);
        budgetState.drawn += effect.admitted;
        budgetState.shortageSignals.onTokensReceived();
        budgetState.lenderRotation.onTokensReceived();
        budgetState.lenderRanking.onTokensReceived();
        actions.emplace_back(TokensAvailable { effect.budget });
    }
    updateBudget(effect.budget, budgetState, actions);
}

void HolderImpl::onOtherDrawDecided(const DrawDecided& effect, LedgerActions& actions)
{
    const auto found = budgetStates_.find(effect.budget);
    if (found == budgetStates_.end())
        return;
    HolderBudgetState& budgetState = found->second;
    budgetState.recordSharer(effect.grant.holder, now_);
    if (effect.shortfall == Tokens {})
        return;
    budgetState.othersShortfall = effect.shortfall;
    budgetState.othersShortfallUntil = now_ + shortageLifetime;
    updateBudget(found->first, budgetState, actions);
}

void HolderImpl::on(const GrantChanged& effect, LedgerActions& actions)
{
    if (effect.grant.holder != self_)
        return;
    const auto found = grants_.find(effect.grant.number);
    if (found == grants_.end())
        return;
    HolderGrant& grant = found->second;
    HolderBudgetState& budgetState = budgetStateOf(grant.budget());
    switch (effect.state) {
    case GrantState::Closed:
        removeGrant(effect.grant.number);
        return;
    case GrantState::Sealed:
        grant.seal();
        retire("a grant of this incarnation was sealed", actions);
        break;
    case GrantState::Open:
        grant.onWitnessRead(effect.witness);
        break;
    }
    updateBudget(grant.budget(), budgetState, actions);
}

void HolderImpl::on(const BillDecided& effect, LedgerActions& actions)
{
    recordBilled(effect);
    if (effect.grant.holder != self_) {
        if (author_ == self_)
            onBorrowedBillDecided(effect, actions);
        return;
    }
    const auto found = grants_.find(effect.grant.number);
    if (found == grants_.end())
        return;
    HolderGrant& grant = found->second;
    if (author_ != self_)
        grant.onBorrowerBill(author_, effect.tokens, effect.counted);
    else if (!effect.counted)
        grant.refund(effect.tokens);
    else
        return;
    actions.emplace_back(TokensAvailable { grant.budget() });
    updateBudget(grant.budget(), budgetStateOf(grant.budget()), actions);
}

// A router that starts reads minutes of bills at once. They are not recorded, since they would look like a burst.
void HolderImpl::recordBilled(const BillDecided& effect)
{
    if (!effect.counted || !environment_.caughtUp)
        return;
    const auto grant = fold_->grant(effect.grant);
    const auto budgetState = grant ? budgetStates_.find(grant->budget) : budgetStates_.end();
    if (budgetState == budgetStates_.end())
        return;
    budgetState->second.billed.record(effect.tokens, now_);
    // What the homes of a budget hold is billed by those that borrow it.
    const bool own = budgetState->second.homes.shared() ? effect.grant.holder == self_ : author_ == self_;
    if (own)
        budgetState->second.ownBilled.record(effect.tokens, now_);
}

void HolderImpl::onBorrowedBillDecided(const BillDecided& effect, LedgerActions& actions)
{
    for (auto& [number, loan] : loans_) {
        if (loan.grant() != effect.grant || !loan.onBillRead(effect.key, effect.tokens, effect.counted))
            continue;
        if (!effect.counted)
            actions.emplace_back(TokensAvailable { loan.budget() });
        return;
    }
}

void HolderImpl::on(const BudgetChanged& effect, LedgerActions& actions)
{
    const auto found = budgetStates_.find(effect.budget);
    if (found != budgetStates_.end() && !found->second.waitingRequests.empty())
        updateBudget(found->first, found->second, actions);
}

void HolderImpl::removeGrant(std::uint32_t number)
{
    std::erase(budgetStateOf(grants_.at(number).budget()).grants, number);
    grants_.erase(number);
}

// H12: the ledger refuses every draw of a retired incarnation. The holder finishes its running requests and closes its
// grants; the process continues under a new incarnation.
void HolderImpl::retire(std::string reason, LedgerActions& actions)
{
    if (std::exchange(retired_, true))
        return;
    actions.emplace_back(Retired { std::move(reason) });
    for (auto& [budget, budgetState] : budgetStates_)
        updateBudget(budget, budgetState, actions);
}

} // namespace swiftlift::ledger::internal
