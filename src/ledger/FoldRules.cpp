#include "ledger/FoldRules.h"

#include <algorithm>
#include <limits>
#include <variant>

namespace swiftlift::ledger::internal {

namespace {

    constexpr Incarnation nobody {};
    constexpr Tokens none {};
    /** Of an account that was opened by its funds: its keys are the configuration's affair, and none has this hash. */
    constexpr const char* noKey = "-";

    std::string notHolder() { return "only the grant's holder may do that"; }

    std::string noLongerOpen() { return "the grant is sealed"; }

    bool wouldOverflow(Tokens sum, Tokens amount)
    {
        return amount.value() > std::numeric_limits<std::int64_t>::max() - sum.value();
    }

} // namespace

Rules::Rules(FoldState& state, Offset at, std::vector<Effect>& effects)
    : state_(state)
    , at_(at)
    , effects_(effects)
{
}

void Rules::take(const Item& item)
{
    const Origin* const known = state_.origins.find(item.origin);
    const std::uint64_t last = known ? known->lastSequence : 0;
    if (item.origin == nobody) {
        effects_.emplace_back(Refused { item.origin, item.sequence, "the item has no author" });
        return;
    }
    if (item.sequence <= last)
        return;
    if (item.sequence != last + 1) {
        // S5: an author has one append in flight, so its items arrive in order. A hole means that an earlier item was
        // lost for good; applying this one would act on a state that its author never saw.
        effects_.emplace_back(Refused { item.origin, item.sequence,
            "sequence " + std::to_string(item.sequence) + " comes after " + std::to_string(last) });
        return;
    }
    state_.origins.advance(item.origin, item.sequence);
    effects_.emplace_back(Landed { item.origin, item.sequence });
    const auto apply = [&](const auto& entry) { return rule(item.origin, entry); };
    if (Refusal refusal = std::visit(apply, item.entry))
        effects_.emplace_back(Refused { item.origin, item.sequence, std::move(*refusal) });
}

Refusal Rules::rule(Incarnation, const OpenAccount& entry)
{
    if (state_.books.account(entry.account))
        return "the account exists already";
    state_.books.addAccount(entry.account, AccountView { entry.keyHash, false, at_ });
    return {};
}

Refusal Rules::rule(Incarnation, const CloseAccount& entry)
{
    AccountView* const account = state_.books.account(entry.account);
    if (!account)
        return "no such account";
    if (account->closed)
        return "the account is closed already";
    if (account->revision != entry.expectedRevision)
        return "the account was changed at offset " + std::to_string(account->revision.value()) + " by another";
    account->closed = true;
    account->revision = at_;
    return {};
}

Refusal Rules::rule(Incarnation, const TopUp& entry)
{
    AccountView* const account = state_.books.account(entry.budget.account);
    if (!account)
        return "no such account";
    if (account->closed)
        return "the account is closed";
    if (entry.amount <= none)
        return "a top-up adds at least one token";
    const auto& budgets = state_.books.budgets();
    const auto found = budgets.find(entry.budget);
    if (found != budgets.end() && wouldOverflow(found->second.view.bought, entry.amount))
        return "the budget can't count that many tokens";
    state_.books.credit(entry.budget, entry.amount);
    account->revision = at_;
    effects_.emplace_back(BudgetChanged { entry.budget });
    return {};
}

// Every router writes the total that it read, so the same one comes often, and an older one may land after a newer one.
// Added up, or taken as it comes, it would sell tokens twice or take sold ones back.
Refusal Rules::rule(Incarnation, const Fund& entry)
{
    if (!state_.books.account(entry.budget.account))
        state_.books.addAccount(entry.budget.account, AccountView { noKey, false, at_ });
    const auto& budgets = state_.books.budgets();
    const auto found = budgets.find(entry.budget);
    const Tokens bought = found == budgets.end() ? none : found->second.view.bought;
    if (entry.total <= bought)
        return {};
    state_.books.credit(entry.budget, entry.total - bought);
    state_.books.account(entry.budget.account)->revision = at_;
    effects_.emplace_back(BudgetChanged { entry.budget });
    return {};
}

Refusal Rules::rule(Incarnation origin, const Draw& entry)
{
    Refusal refusal = refusalOf(origin, entry);
    if (entry.grant.holder == origin) {
        Origin& holder = state_.origins.at(origin);
        holder.highestGrant = std::max(holder.highestGrant, entry.grant.number);
    }
    const Tokens available = refusal ? none : state_.books.available(entry.budget);
    const Tokens offered = std::min(entry.wanted, available);
    const Tokens admitted = offered >= std::max(entry.least, Tokens { 1 }) ? offered : none;
    const Tokens shortfall = std::max(std::max(entry.wanted, none) - state_.books.available(entry.budget), none);
    if (admitted > none)
        admit(entry, admitted);
    effects_.emplace_back(DrawDecided { entry.grant, entry.budget, admitted, shortfall, entry.witness });
    if (admitted > none)
        effects_.emplace_back(BudgetChanged { entry.budget });
    return refusal;
}

Refusal Rules::refusalOf(Incarnation origin, const Draw& entry)
{
    const Origin& holder = state_.origins.at(origin);
    if (entry.grant.holder != origin)
        return "a draw is made by the grant's holder";
    if (holder.retired)
        return "the holder is retired";
    if (entry.grant.number <= holder.highestGrant)
        return "the grant's number is not higher than " + std::to_string(holder.highestGrant);
    if (entry.wanted < none || entry.least < none)
        return "a draw takes no negative tokens";
    const AccountView* const account = state_.books.account(entry.budget.account);
    if (!account)
        return "no such account";
    if (account->closed)
        return "the account is closed";
    if (!state_.books.budgets().contains(entry.budget))
        return "no such budget";
    return {};
}

void Rules::admit(const Draw& entry, Tokens admitted)
{
    GrantView grant;
    grant.id = entry.grant;
    grant.budget = entry.budget;
    grant.amount = admitted;
    grant.witness = entry.witness;
    state_.books.addGrant(grant);
    ++state_.origins.at(entry.grant.holder).openGrants;
}

Refusal Rules::rule(Incarnation origin, const Return& entry)
{
    GrantView* const grant = state_.books.grant(entry.grant);
    if (!grant)
        return missing(entry.grant);
    if (origin != grant->id.holder)
        return notHolder();
    if (grant->state != GrantState::Open)
        return noLongerOpen();
    if (entry.amount < none || entry.amount > grant->amount - grant->billed)
        return "a return gives back at most what was not billed";
    state_.books.giveBack(*grant, entry.amount);
    changed(*grant);
    return {};
}

Refusal Rules::rule(Incarnation origin, const CloseGrant& entry)
{
    GrantView* const grant = state_.books.grant(entry.grant);
    if (!grant)
        return missing(entry.grant);
    const bool byWitness = grant->state == GrantState::Sealed && origin == grant->witness;
    if (origin != grant->id.holder && !byWitness)
        return notHolder();
    close(*grant);
    return {};
}

Refusal Rules::rule(Incarnation, const WriteOff& entry)
{
    GrantView* const grant = state_.books.grant(entry.grant);
    if (!grant)
        return missing(entry.grant);
    state_.origins.at(grant->id.holder).retired = true;
    close(*grant);
    return {};
}

void Rules::close(GrantView& grant)
{
    GrantView closed = grant;
    state_.books.close(grant);
    --state_.origins.at(closed.id.holder).openGrants;
    closed.state = GrantState::Closed;
    changed(closed);
}

Refusal Rules::rule(Incarnation origin, const ChangeWitness& entry)
{
    GrantView* const grant = state_.books.grant(entry.grant);
    if (!grant)
        return missing(entry.grant);
    if (origin != grant->id.holder)
        return notHolder();
    if (grant->state != GrantState::Open)
        return noLongerOpen();
    grant->witness = entry.witness;
    grant->floor = std::min(std::max(entry.ceiling, grant->billed), grant->amount);
    effects_.emplace_back(GrantChanged { grant->id, grant->state, grant->witness });
    return {};
}

Refusal Rules::rule(Incarnation origin, const Seal& entry)
{
    GrantView* const grant = state_.books.grant(entry.grant);
    if (!grant)
        return missing(entry.grant);
    if (grant->state != GrantState::Open)
        return noLongerOpen();
    if (origin != entry.witness || origin != grant->witness)
        return "only the grant's witness may seal it";
    // S7: with less than what the holder may have spent, the freed rest would be spent twice.
    const Tokens reached = std::max({ entry.ceiling, grant->floor, grant->billed });
    state_.books.seal(*grant, std::min(reached, grant->amount));
    // S9: a draw that the dead holder had in flight may still land. AdmissionDecision, it would hold money that nobody
    // spends.
    state_.origins.at(grant->id.holder).retired = true;
    changed(*grant);
    return {};
}

Refusal Rules::rule(Incarnation, const Bill& entry)
{
    GrantView* const grant = state_.books.grant(entry.grant);
    if (!grant)
        return missing(entry.grant);
    if (entry.tokens < none)
        return "a bill charges no negative tokens";
    if (state_.bills.find(entry.key)) {
        effects_.emplace_back(BillDecided { entry.key, entry.grant, entry.tokens, false });
        return {};
    }
    if (entry.tokens > grant->held() - grant->billed)
        return "the bill passes what the grant holds";
    state_.books.charge(*grant, entry.tokens);
    state_.bills.add(entry.key, entry.tokens);
    effects_.emplace_back(BillDecided { entry.key, entry.grant, entry.tokens, true });
    effects_.emplace_back(BudgetChanged { grant->budget });
    return {};
}

Refusal Rules::rule(Incarnation origin, const Claim& entry)
{
    state_.claims.add(entry.key, origin);
    effects_.emplace_back(ClaimDecided { entry.key, *state_.claims.find(entry.key) });
    return {};
}

Refusal Rules::rule(Incarnation origin, const VoidClaim& entry)
{
    const bool isFirst = state_.claims.add(entry.key, nobody);
    if (!isFirst && *state_.claims.find(entry.key) == origin)
        state_.claims.change(entry.key, nobody);
    effects_.emplace_back(ClaimDecided { entry.key, *state_.claims.find(entry.key) });
    return {};
}

Refusal Rules::rule(Incarnation, const Checkpoint& entry)
{
    if (entry.asOf > at_)
        return "the checkpoint is of records that come after it";
    return {};
}

std::string Rules::missing(const GrantId& id) const
{
    const Origin* const holder = state_.origins.find(id.holder);
    if (holder && id.number <= holder->highestGrant)
        return "the grant is closed, or was never admitted";
    return "no such grant";
}

void Rules::changed(const GrantView& grant)
{
    effects_.emplace_back(GrantChanged { grant.id, grant.state, grant.witness });
    effects_.emplace_back(BudgetChanged { grant.budget });
}

} // namespace swiftlift::ledger::internal
