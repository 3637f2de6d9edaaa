#include "ledger/FoldRules.h"

#include <algorithm>
#include <limits>
#include <variant>

namespace swiftlift::ledger::internal {

namespace {

    constexpr Incarnation noIncarnation {};
    constexpr Tokens noTokens {};
    /** Key hash of an account that a `Fund` entry opened. The configuration defines the keys of such an account, and no
     * key has this hash. */
    constexpr const char* noKeyHash = "-";

    std::string notHolderReason() { return "only the holder of the grant may append this entry"; }

    std::string sealedReason() { return "the grant is sealed"; }

    bool wouldOverflow(Tokens sum, Tokens amount)
    {
        return amount.value() > std::numeric_limits<std::int64_t>::max() - sum.value();
    }

} // namespace

FoldRules::FoldRules(FoldState& state, Offset offset, std::vector<Effect>& effects)
    : state_(state)
    , offset_(offset)
    , effects_(effects)
{
}

void FoldRules::applyItem(const Item& item)
{
    const Origin* const known = state_.origins.find(item.origin);
    const std::uint64_t last = known ? known->lastSequence : 0;
    if (item.origin == noIncarnation) {
        effects_.emplace_back(Refused { item.origin, item.sequence, "the item has no author" });
        return;
    }
    if (item.sequence <= last)
        return;
    if (item.sequence != last + 1) {
        // Rule S5: an author has one append in flight, so its items arrive in order. A gap means that an earlier item
        // was lost for good, and the author created this item for a state that includes the lost one.
        effects_.emplace_back(Refused { item.origin, item.sequence,
            "sequence " + std::to_string(item.sequence) + " follows " + std::to_string(last) });
        return;
    }
    state_.origins.recordItem(item.origin, item.sequence);
    effects_.emplace_back(Landed { item.origin, item.sequence });
    const auto apply = [&](const auto& entry) { return applyEntry(item.origin, entry); };
    if (Refusal refusal = std::visit(apply, item.entry))
        effects_.emplace_back(Refused { item.origin, item.sequence, std::move(*refusal) });
}

Refusal FoldRules::applyEntry(Incarnation, const OpenAccount& entry)
{
    if (state_.balances.account(entry.account))
        return "the account exists already";
    state_.balances.addAccount(entry.account, AccountView { entry.keyHash, false, offset_ });
    return {};
}

Refusal FoldRules::applyEntry(Incarnation, const CloseAccount& entry)
{
    AccountView* const account = state_.balances.account(entry.account);
    if (!account)
        return "the account does not exist";
    if (account->closed)
        return "the account is closed already";
    if (account->revision != entry.expectedRevision)
        return "the account was changed at offset " + std::to_string(account->revision.value()) + " by another record";
    account->closed = true;
    account->revision = offset_;
    return {};
}

Refusal FoldRules::applyEntry(Incarnation, const TopUp& entry)
{
    AccountView* const account = state_.balances.account(entry.budget.account);
    if (!account)
        return "the account does not exist";
    if (account->closed)
        return "the account is closed";
    if (entry.amount <= noTokens)
        return "the amount of a top-up must be at least one token";
    const auto& budgets = state_.balances.budgets();
    const auto found = budgets.find(entry.budget);
    if (found != budgets.end() && wouldOverflow(found->second.view.bought, entry.amount))
        return "the top-up overflows the budget's total";
    state_.balances.credit(entry.budget, entry.amount);
    account->revision = offset_;
    effects_.emplace_back(BudgetChanged { entry.budget });
    return {};
}

// Each router appends the total that it read, so the same total arrives repeatedly, and an older total may arrive after
// a newer one. Adding the totals up would sell tokens twice, and replacing the total by each one would take back sold
// tokens.
Refusal FoldRules::applyEntry(Incarnation, const Fund& entry)
{
    if (!state_.balances.account(entry.budget.account))
        state_.balances.addAccount(entry.budget.account, AccountView { noKeyHash, false, offset_ });
    const auto& budgets = state_.balances.budgets();
    const auto found = budgets.find(entry.budget);
    const Tokens bought = found == budgets.end() ? noTokens : found->second.view.bought;
    if (entry.total <= bought)
        return {};
    state_.balances.credit(entry.budget, entry.total - bought);
    state_.balances.account(entry.budget.account)->revision = offset_;
    effects_.emplace_back(BudgetChanged { entry.budget });
    return {};
}

Refusal FoldRules::applyEntry(Incarnation origin, const Draw& entry)
{
    Refusal refusal = refusalOfDraw(origin, entry);
    if (entry.grant.holder == origin) {
        Origin& holder = state_.origins.at(origin);
        holder.highestGrant = std::max(holder.highestGrant, entry.grant.number);
    }
    const Tokens available = refusal ? noTokens : state_.balances.available(entry.budget);
    const Tokens offered = std::min(entry.wanted, available);
    const Tokens admitted = offered >= std::max(entry.least, Tokens { 1 }) ? offered : noTokens;
    const Tokens shortfall
        = std::max(std::max(entry.wanted, noTokens) - state_.balances.available(entry.budget), noTokens);
    if (admitted > noTokens)
        addAdmittedGrant(entry, admitted);
    effects_.emplace_back(DrawDecided { entry.grant, entry.budget, admitted, shortfall, entry.witness });
    if (admitted > noTokens)
        effects_.emplace_back(BudgetChanged { entry.budget });
    return refusal;
}

Refusal FoldRules::refusalOfDraw(Incarnation origin, const Draw& entry)
{
    const Origin& holder = state_.origins.at(origin);
    if (entry.grant.holder != origin)
        return "the author of a draw must be the holder of the grant";
    if (holder.retired)
        return "the holder is retired";
    if (entry.grant.number <= holder.highestGrant)
        return "the grant's number must be higher than " + std::to_string(holder.highestGrant);
    if (entry.wanted < noTokens || entry.least < noTokens)
        return "a draw must not have negative tokens";
    const AccountView* const account = state_.balances.account(entry.budget.account);
    if (!account)
        return "the account does not exist";
    if (account->closed)
        return "the account is closed";
    if (!state_.balances.budgets().contains(entry.budget))
        return "the budget does not exist";
    return {};
}

void FoldRules::addAdmittedGrant(const Draw& entry, Tokens admitted)
{
    GrantView grant;
    grant.id = entry.grant;
    grant.budget = entry.budget;
    grant.amount = admitted;
    grant.witness = entry.witness;
    state_.balances.addGrant(grant);
    ++state_.origins.at(entry.grant.holder).openGrants;
}

Refusal FoldRules::applyEntry(Incarnation origin, const Return& entry)
{
    GrantView* const grant = state_.balances.grant(entry.grant);
    if (!grant)
        return missingGrantReason(entry.grant);
    if (origin != grant->id.holder)
        return notHolderReason();
    if (grant->state != GrantState::Open)
        return sealedReason();
    if (entry.amount < noTokens || entry.amount > grant->amount - grant->billed)
        return "a return must not exceed the tokens of the grant that were not billed";
    state_.balances.returnTokens(*grant, entry.amount);
    emitGrantChanged(*grant);
    return {};
}

Refusal FoldRules::applyEntry(Incarnation origin, const CloseGrant& entry)
{
    GrantView* const grant = state_.balances.grant(entry.grant);
    if (!grant)
        return missingGrantReason(entry.grant);
    const bool byWitness = grant->state == GrantState::Sealed && origin == grant->witness;
    if (origin != grant->id.holder && !byWitness)
        return notHolderReason();
    closeGrant(*grant);
    return {};
}

Refusal FoldRules::applyEntry(Incarnation, const WriteOff& entry)
{
    GrantView* const grant = state_.balances.grant(entry.grant);
    if (!grant)
        return missingGrantReason(entry.grant);
    state_.origins.at(grant->id.holder).retired = true;
    closeGrant(*grant);
    return {};
}

void FoldRules::closeGrant(GrantView& grant)
{
    GrantView closed = grant;
    state_.balances.close(grant);
    --state_.origins.at(closed.id.holder).openGrants;
    closed.state = GrantState::Closed;
    emitGrantChanged(closed);
}

Refusal FoldRules::applyEntry(Incarnation origin, const ChangeWitness& entry)
{
    GrantView* const grant = state_.balances.grant(entry.grant);
    if (!grant)
        return missingGrantReason(entry.grant);
    if (origin != grant->id.holder)
        return notHolderReason();
    if (grant->state != GrantState::Open)
        return sealedReason();
    grant->witness = entry.witness;
    grant->floor = std::min(std::max(entry.ceiling, grant->billed), grant->amount);
    effects_.emplace_back(GrantChanged { grant->id, grant->state, grant->witness });
    return {};
}

Refusal FoldRules::applyEntry(Incarnation origin, const Seal& entry)
{
    GrantView* const grant = state_.balances.grant(entry.grant);
    if (!grant)
        return missingGrantReason(entry.grant);
    if (grant->state != GrantState::Open)
        return sealedReason();
    if (origin != entry.witness || origin != grant->witness)
        return "only the witness of the grant may seal it";
    // Rule S7: a ceiling below what the holder may have spent would free tokens that are then spent twice.
    const Tokens highestCeiling = std::max({ entry.ceiling, grant->floor, grant->billed });
    state_.balances.seal(*grant, std::min(highestCeiling, grant->amount));
    // Rule S9: a draw that the failed holder had in flight may still land. If it were admitted, it would hold tokens
    // that are never spent.
    state_.origins.at(grant->id.holder).retired = true;
    emitGrantChanged(*grant);
    return {};
}

Refusal FoldRules::applyEntry(Incarnation, const Bill& entry)
{
    GrantView* const grant = state_.balances.grant(entry.grant);
    if (!grant)
        return missingGrantReason(entry.grant);
    if (entry.tokens < noTokens)
        return "a bill must not have negative tokens";
    if (state_.bills.find(entry.key)) {
        effects_.emplace_back(BillDecided { entry.key, entry.grant, entry.tokens, false });
        return {};
    }
    if (entry.tokens > grant->held() - grant->billed)
        return "the bill exceeds the tokens that are left in the grant";
    state_.balances.charge(*grant, entry.tokens);
    state_.bills.add(entry.key, entry.tokens);
    effects_.emplace_back(BillDecided { entry.key, entry.grant, entry.tokens, true });
    effects_.emplace_back(BudgetChanged { grant->budget });
    return {};
}

Refusal FoldRules::applyEntry(Incarnation origin, const Claim& entry)
{
    state_.claims.add(entry.key, origin);
    effects_.emplace_back(ClaimDecided { entry.key, *state_.claims.find(entry.key) });
    return {};
}

Refusal FoldRules::applyEntry(Incarnation origin, const VoidClaim& entry)
{
    const bool isFirst = state_.claims.add(entry.key, noIncarnation);
    if (!isFirst && *state_.claims.find(entry.key) == origin)
        state_.claims.setValue(entry.key, noIncarnation);
    effects_.emplace_back(ClaimDecided { entry.key, *state_.claims.find(entry.key) });
    return {};
}

Refusal FoldRules::applyEntry(Incarnation, const Checkpoint& entry)
{
    if (entry.asOf > offset_)
        return "the checkpoint covers records after its own offset";
    return {};
}

std::string FoldRules::missingGrantReason(const GrantId& id) const
{
    const Origin* const holder = state_.origins.find(id.holder);
    if (holder && id.number <= holder->highestGrant)
        return "the grant is closed or was never admitted";
    return "the grant does not exist";
}

void FoldRules::emitGrantChanged(const GrantView& grant)
{
    effects_.emplace_back(GrantChanged { grant.id, grant.state, grant.witness });
    effects_.emplace_back(BudgetChanged { grant.budget });
}

} // namespace swiftlift::ledger::internal
