#include <algorithm>
#include <utility>

#include "ledger/HolderImpl.h"

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    /** How long another holder's shortage is answered with what is not needed here. */
    constexpr Duration shortageMemory = 2s;
    /** Weight of a new sample of how long draws take: one in four. */
    constexpr int drawSmoothing = 4;

} // namespace

void HolderImpl::onEffect(const Effect& effect, Instant now, LedgerActions& actions)
{
    now_ = now;
    std::visit([&](const auto& happened) { on(happened, actions); }, effect);
    if (!retired_ && fold_->retired(self_))
        retire("a grant of this incarnation was sealed", actions);
    flushRaises(actions);
}

// Comes first of an item's effects, so it tells who wrote the bill or draw that follows.
void HolderImpl::on(const Landed& effect, LedgerActions&) { author_ = effect.origin; }

void HolderImpl::on(const DrawDecided& effect, LedgerActions& actions)
{
    if (effect.grant.holder != self_)
        otherDrawDecided(effect, actions);
    else if (author_ == self_)
        ownDrawDecided(effect, actions);
}

// H1: only here does a grant become usable. Spending it as soon as it was asked for would spend money that the fold may
// have given to somebody else.
void HolderImpl::ownDrawDecided(const DrawDecided& effect, LedgerActions& actions)
{
    const auto grant = grants_.find(effect.grant.number);
    if (grant == grants_.end() || grant->second.state() != HolderGrantState::Drawing)
        return;
    HolderBudgetState& desk = deskOf(effect.budget);
    drawTook_ += (now_ - desk.drawingSince - drawTook_) / drawSmoothing;
    desk.drawing.reset();
    if (effect.admitted == Tokens {}) {
        forgetGrant(effect.grant.number);
    } else {
        grant->second.admitted(effect.admitted, effect.witness);
        desk.drawn += effect.admitted;
        desk.signals.relieved();
        desk.rounds.relieved();
        actions.emplace_back(TokensAvailable { effect.budget });
    }
    work(effect.budget, desk, actions);
}

void HolderImpl::otherDrawDecided(const DrawDecided& effect, LedgerActions& actions)
{
    const auto found = desks_.find(effect.budget);
    if (found == desks_.end())
        return;
    HolderBudgetState& desk = found->second;
    desk.saw(effect.grant.holder, now_);
    if (effect.shortfall == Tokens {})
        return;
    desk.othersShort = effect.shortfall;
    desk.othersShortUntil = now_ + shortageMemory;
    work(found->first, desk, actions);
}

void HolderImpl::on(const GrantChanged& effect, LedgerActions& actions)
{
    if (effect.grant.holder != self_)
        return;
    const auto found = grants_.find(effect.grant.number);
    if (found == grants_.end())
        return;
    HolderGrant& grant = found->second;
    HolderBudgetState& desk = deskOf(grant.budget());
    switch (effect.state) {
    case GrantState::Closed:
        forgetGrant(effect.grant.number);
        return;
    case GrantState::Sealed:
        grant.seal();
        retire("a grant of this incarnation was sealed", actions);
        break;
    case GrantState::Open:
        grant.witnessRead(effect.witness);
        break;
    }
    work(grant.budget(), desk, actions);
}

void HolderImpl::on(const BillDecided& effect, LedgerActions& actions)
{
    noteBilled(effect);
    if (effect.grant.holder != self_) {
        if (author_ == self_)
            borrowedBillDecided(effect, actions);
        return;
    }
    const auto found = grants_.find(effect.grant.number);
    if (found == grants_.end())
        return;
    HolderGrant& grant = found->second;
    if (author_ != self_)
        grant.borrowerBilled(author_, effect.tokens, effect.counted);
    else if (!effect.counted)
        grant.refund(effect.tokens);
    else
        return;
    actions.emplace_back(TokensAvailable { grant.budget() });
    work(grant.budget(), deskOf(grant.budget()), actions);
}

// A router that starts reads the bills of minutes within a moment: noted, they would pass for a flood.
void HolderImpl::noteBilled(const BillDecided& effect)
{
    if (!effect.counted || !environment_.caughtUp)
        return;
    const auto grant = fold_->grant(effect.grant);
    const auto desk = grant ? desks_.find(grant->budget) : desks_.end();
    if (desk != desks_.end())
        desk->second.billed.note(effect.tokens, now_);
}

void HolderImpl::borrowedBillDecided(const BillDecided& effect, LedgerActions& actions)
{
    for (auto& [number, loan] : loans_) {
        if (loan.grant() != effect.grant || !loan.billRead(effect.key, effect.tokens, effect.counted))
            continue;
        if (!effect.counted)
            actions.emplace_back(TokensAvailable { loan.budget() });
        return;
    }
}

void HolderImpl::on(const BudgetChanged& effect, LedgerActions& actions)
{
    const auto found = desks_.find(effect.budget);
    if (found != desks_.end() && !found->second.wants.empty())
        work(found->first, found->second, actions);
}

void HolderImpl::forgetGrant(std::uint32_t number)
{
    std::erase(deskOf(grants_.at(number).budget()).grants, number);
    grants_.erase(number);
}

// H12: a retired incarnation is refused every draw. It finishes what it has begun and closes its grants; the process
// goes on under a new incarnation.
void HolderImpl::retire(std::string reason, LedgerActions& actions)
{
    if (std::exchange(retired_, true))
        return;
    actions.emplace_back(Retired { std::move(reason) });
    for (auto& [budget, desk] : desks_)
        work(budget, desk, actions);
}

} // namespace swiftlift::ledger::internal
