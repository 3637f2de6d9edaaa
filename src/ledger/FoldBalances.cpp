#include "ledger/FoldBooks.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace swiftlift::ledger::internal {

namespace {

    std::string nameOf(const BudgetRef& ref) { return ref.account.value() + "/" + ref.budget.value(); }

    std::string findingOf(const BudgetBook& book, const BudgetView& counted)
    {
        if (book.view.held != counted.held)
            return "held is not the sum of its grants";
        if (book.view.billed != counted.billed)
            return "billed is not the sum of its grants";
        if (book.view.held > book.view.bought)
            return "holds more than was bought";
        if (book.closed < Tokens {} || book.view.billed > book.view.held)
            return "was billed more than it holds";
        return {};
    }

    bool isSound(const GrantView& grant)
    {
        return Tokens {} <= grant.billed && grant.billed <= grant.held() && grant.held() <= grant.amount;
    }

} // namespace

AccountView* Books::account(const AccountId& id)
{
    const auto found = accounts_.find(id);
    return found == accounts_.end() ? nullptr : &found->second;
}

GrantView* Books::grant(const GrantId& id)
{
    const auto found = grants_.find(id);
    return found == grants_.end() ? nullptr : &found->second;
}

Tokens Books::available(const BudgetRef& ref) const
{
    const auto found = budgets_.find(ref);
    return found == budgets_.end() ? Tokens {} : found->second.view.available();
}

void Books::addAccount(const AccountId& id, AccountView account) { accounts_.emplace(id, std::move(account)); }

void Books::credit(const BudgetRef& ref, Tokens amount) { budgets_[ref].view.bought += amount; }

void Books::addGrant(const GrantView& grant)
{
    assert(budgets_.contains(grant.budget) && "a grant belongs to a known budget");
    BudgetView& budget = budgets_.at(grant.budget).view;
    budget.held += grant.held();
    budget.billed += grant.billed;
    grants_.emplace(grant.id, grant);
}

void Books::addClosed(const BudgetRef& ref, Tokens billed)
{
    BudgetBook& book = budgets_.at(ref);
    book.closed += billed;
    book.view.held += billed;
    book.view.billed += billed;
}

void Books::giveBack(GrantView& grant, Tokens amount)
{
    assert(grant.state == GrantState::Open && "only an open grant gives back");
    grant.amount -= amount;
    grant.floor = std::min(grant.floor, grant.amount);
    budgets_.at(grant.budget).view.held -= amount;
}

void Books::seal(GrantView& grant, Tokens ceiling)
{
    BudgetView& budget = budgets_.at(grant.budget).view;
    budget.held -= grant.held();
    grant.state = GrantState::Sealed;
    grant.ceiling = ceiling;
    budget.held += grant.held();
}

void Books::charge(GrantView& grant, Tokens tokens)
{
    grant.billed += tokens;
    budgets_.at(grant.budget).view.billed += tokens;
}

void Books::close(const GrantView& grant)
{
    BudgetBook& book = budgets_.at(grant.budget);
    book.view.held -= grant.held();
    book.view.held += grant.billed;
    book.closed += grant.billed;
    grants_.erase(GrantId { grant.id });
}

std::string Books::inconsistency() const
{
    std::map<BudgetRef, BudgetView> counted;
    for (const auto& [id, grant] : grants_) {
        if (!isSound(grant))
            return "grant " + std::to_string(id.number) + " of " + nameOf(grant.budget) + " is out of bounds";
        BudgetView& sum = counted[grant.budget];
        sum.held += grant.held();
        sum.billed += grant.billed;
    }
    for (const auto& [ref, book] : budgets_) {
        BudgetView& sum = counted[ref];
        sum.held += book.closed;
        sum.billed += book.closed;
        if (std::string finding = findingOf(book, sum); !finding.empty())
            return "budget " + nameOf(ref) + " " + finding;
    }
    return {};
}

} // namespace swiftlift::ledger::internal
