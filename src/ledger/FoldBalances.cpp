#include "ledger/FoldBalances.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace swiftlift::ledger::internal {

namespace {

    std::string nameOf(const BudgetRef& ref) { return ref.account.value() + "/" + ref.budget.value(); }

    std::string inconsistencyOf(const BudgetBalance& balance, const BudgetView& recounted)
    {
        if (balance.view.held != recounted.held)
            return "has a held sum that differs from the sum over its grants";
        if (balance.view.billed != recounted.billed)
            return "has a billed sum that differs from the sum over its grants";
        if (balance.view.held > balance.view.bought)
            return "holds more tokens than were bought";
        if (balance.billedToClosedGrants < Tokens {} || balance.view.billed > balance.view.held)
            return "was billed more tokens than it holds";
        return {};
    }

    bool isConsistent(const GrantView& grant)
    {
        return Tokens {} <= grant.billed && grant.billed <= grant.held() && grant.held() <= grant.amount;
    }

} // namespace

AccountView* Balances::account(const AccountId& id)
{
    const auto found = accounts_.find(id);
    return found == accounts_.end() ? nullptr : &found->second;
}

GrantView* Balances::grant(const GrantId& id)
{
    const auto found = grants_.find(id);
    return found == grants_.end() ? nullptr : &found->second;
}

Tokens Balances::available(const BudgetRef& ref) const
{
    const auto found = budgets_.find(ref);
    return found == budgets_.end() ? Tokens {} : found->second.view.available();
}

void Balances::addAccount(const AccountId& id, AccountView account) { accounts_.emplace(id, std::move(account)); }

void Balances::credit(const BudgetRef& ref, Tokens amount) { budgets_[ref].view.bought += amount; }

void Balances::addGrant(const GrantView& grant)
{
    assert(budgets_.contains(grant.budget) && "the budget of a grant must exist");
    BudgetView& budget = budgets_.at(grant.budget).view;
    budget.held += grant.held();
    budget.billed += grant.billed;
    grants_.emplace(grant.id, grant);
}

void Balances::addBilledToClosedGrants(const BudgetRef& ref, Tokens billed)
{
    BudgetBalance& balance = budgets_.at(ref);
    balance.billedToClosedGrants += billed;
    balance.view.held += billed;
    balance.view.billed += billed;
}

void Balances::returnTokens(GrantView& grant, Tokens amount)
{
    assert(grant.state == GrantState::Open && "only an open grant may return tokens");
    grant.amount -= amount;
    grant.floor = std::min(grant.floor, grant.amount);
    budgets_.at(grant.budget).view.held -= amount;
}

void Balances::seal(GrantView& grant, Tokens ceiling)
{
    BudgetView& budget = budgets_.at(grant.budget).view;
    budget.held -= grant.held();
    grant.state = GrantState::Sealed;
    grant.ceiling = ceiling;
    budget.held += grant.held();
}

void Balances::charge(GrantView& grant, Tokens tokens)
{
    grant.billed += tokens;
    budgets_.at(grant.budget).view.billed += tokens;
}

void Balances::close(const GrantView& grant)
{
    BudgetBalance& balance = budgets_.at(grant.budget);
    balance.view.held -= grant.held();
    balance.view.held += grant.billed;
    balance.billedToClosedGrants += grant.billed;
    grants_.erase(GrantId { grant.id });
}

std::string Balances::inconsistency() const
{
    std::map<BudgetRef, BudgetView> recounted;
    for (const auto& [id, grant] : grants_) {
        if (!isConsistent(grant))
            return "grant " + std::to_string(id.number) + " of " + nameOf(grant.budget)
                + " violates 0 <= billed <= held <= amount";
        BudgetView& sum = recounted[grant.budget];
        sum.held += grant.held();
        sum.billed += grant.billed;
    }
    for (const auto& [ref, balance] : budgets_) {
        BudgetView& sum = recounted[ref];
        sum.held += balance.billedToClosedGrants;
        sum.billed += balance.billedToClosedGrants;
        if (std::string mismatch = inconsistencyOf(balance, sum); !mismatch.empty())
            return "budget " + nameOf(ref) + " " + mismatch;
    }
    return {};
}

} // namespace swiftlift::ledger::internal
