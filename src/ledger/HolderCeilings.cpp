#include <algorithm>

#include "ledger/HolderImpl.h"

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    constexpr Incarnation noWitness {};
    /** Delay of the first retry of a raise; doubles with each further one. */
    constexpr Duration initialRetryDelay = 100ms;
    constexpr std::uint32_t maxBackoffDoublings = 4;
    /** Time without an answer after which requests no longer wait for the witness. */
    constexpr Duration ceilingAnswerTimeout = 500ms;
    /** Time without the log after which requests are answered although only this process has their bills. */
    constexpr Duration outageThreshold = 1s;
    /** Time without an answer after which another witness is named. */
    constexpr Duration witnessChangeTimeout = 1s;
    /** A silent witness may be named again after this time: by then it has read the missing records or is suspected. */
    constexpr Duration silentWitnessPause = 3s;
    /** How long another witness has to be preferred before it replaces one that answers. */
    constexpr Duration stableWitnessPeriod = 3s;

    Duration retryDelay(std::uint32_t attempts)
    {
        return initialRetryDelay * (1U << std::min(attempts == 0 ? 0U : attempts - 1U, maxBackoffDoublings));
    }

} // namespace

void HolderImpl::raiseCeilings(
    const HolderBudgetState& budgetState, const BudgetSituation& situation, LedgerActions& actions)
{
    if (isLeaving() && budgetState.waitingRequests.empty())
        return;
    const Tokens headroom = std::max(policy_->headroom(situation), situation.waiting);
    for (const std::uint32_t number : budgetState.grants) {
        HolderGrant& grant = grants_.at(number);
        updateWitness(grant, headroom, actions);
        raiseCeiling(grant, headroom, situation.waiting);
    }
}

// Requests a raise ahead of need, once half of the headroom is used, and repeats it until it is acknowledged: messages
// get lost, and a witness does not answer before it has read the grant from the log.
void HolderImpl::raiseCeiling(HolderGrant& grant, Tokens headroom, Tokens waiting)
{
    if (!grant.isOpen() || grant.witness() == noWitness || grant.isChangingWitness())
        return;
    const Tokens raiseThreshold = std::max(waiting, Tokens { (headroom.value() + 1) / 2 });
    const bool holderOnly = policy_->witnessesClose() && isInOutage();
    const bool needsHolderOnly = holderOnly && !grant.holderOnly();
    if (!needsHolderOnly && grant.ceiling() >= std::min(grant.amount(), grant.committed() + raiseThreshold))
        return;
    HolderGrant::Raise& raise = grant.raise;
    const bool alreadyRequested = raise.attempts > 0;
    const bool alreadyCovers = raise.holderOnly == holderOnly
        && raise.requestedCeiling >= std::min(grant.amount(), grant.committed() + waiting);
    if (alreadyRequested && (alreadyCovers || raise.refused) && now_ < raise.requestedAt + retryDelay(raise.attempts))
        return;
    if (!alreadyRequested)
        raise.firstRequestedAt = now_;
    raise.requestedCeiling = std::min(grant.amount(), grant.committed() + headroom);
    raise.holderOnly = holderOnly;
    raise.requestedAt = now_;
    ++raise.attempts;
    raises_[grant.witness()].push_back(Ceiling { grant.id(), raise.requestedCeiling, holderOnly });
}

// H6: the entry states the ceiling that applies until the change is read back.
void HolderImpl::updateWitness(HolderGrant& grant, Tokens headroom, LedgerActions& actions)
{
    recordSilentWitness(grant);
    const Incarnation preferredWitness = witnessToName();
    if (!policy_->witnessed() || !environment_.logReachable || isLeaving())
        return;
    if (!grant.isOpen() || grant.isChangingWitness() || grant.holderOnly() || preferredWitness == grant.witness())
        return;
    const bool silent = grant.raise.refused || isWitnessSilent(grant, witnessChangeTimeout);
    const bool preferenceStable = preferredWitness != noWitness && now_ - witnessSince_ >= stableWitnessPeriod;
    if (!silent && !preferenceStable)
        return;
    const Tokens ceiling = grant.changeWitness(preferredWitness, headroom);
    actions.emplace_back(AppendEntry { ChangeWitness { grant.id(), preferredWitness, ceiling } });
}

// After an outage, a witness with a backlog of the log has not read the new grants and does not answer. If each draw
// named this witness again, nothing of the grants could be spent, and each further draw would take half of what is left
// of the budget. Symptom: grants in quick succession without any bill, and refused requests. A grant without a witness
// is spendable as soon as it is read; that it is lost if its holder fails is the smaller loss.
void HolderImpl::recordSilentWitness(const HolderGrant& grant)
{
    if (grant.witness() == noWitness || !grant.isOpen() || !isWitnessSilent(grant, ceilingAnswerTimeout))
        return;
    silentWitness_ = grant.witness();
    silentUntil_ = now_ + silentWitnessPause;
}

Incarnation HolderImpl::witnessToName() const
{
    const Incarnation witness = environment_.witness.value_or(noWitness);
    return witness == silentWitness_ && now_ < silentUntil_ ? noWitness : witness;
}

bool HolderImpl::isInOutage() const { return logUnreachableSince_ && now_ - *logUnreachableSince_ >= outageThreshold; }

// If a request were accepted on a grant whose bill is at risk, the witness could close the grant before the bill lands:
// the caller would receive its tokens and then the result "unknown". Symptom: answers that end with bill_refused.
bool HolderImpl::isBillAtRisk(const HolderGrant& grant) const
{
    const bool witnessed = grant.witness() != noWitness && policy_->witnessesClose();
    const bool witnessResponds
        = environment_.witness == grant.witness() && !isWitnessSilent(grant, ceilingAnswerTimeout);
    return witnessed && !grant.holderOnly() && !witnessResponds && !environment_.logReachable;
}

// A holder-only grant is lost if this process fails. Once the log is reachable, it is replaced by a grant that the
// witness may close.
void HolderImpl::replaceHolderOnlyGrants(const HolderBudgetState& budgetState, LedgerActions& actions)
{
    if (!environment_.logReachable || !policy_->replacesHolderOnlyGrants())
        return;
    for (const std::uint32_t number : budgetState.grants) {
        HolderGrant& grant = grants_.at(number);
        if (!grant.isOpen() || !grant.holderOnly())
            continue;
        const Tokens remainder = grant.remainder();
        if (grant.isIdle()) {
            close(grant, actions);
        } else if (remainder > Tokens {}) {
            grant.returnTokens(remainder);
            actions.emplace_back(AppendEntry { Return { grant.id(), remainder } });
        }
    }
}

bool HolderImpl::isWitnessSilent(const HolderGrant& grant, Duration timeout) const
{
    return grant.raise.attempts > 0 && now_ - grant.raise.firstRequestedAt > timeout;
}

bool HolderImpl::isRaisePending(const HolderBudgetState& budgetState, Tokens amount) const
{
    return std::ranges::any_of(budgetState.grants, [&](std::uint32_t number) {
        const HolderGrant& grant = grants_.at(number);
        if (grant.remainder() < amount)
            return false;
        if (grant.isChangingWitness())
            return environment_.logReachable;
        return grant.raise.attempts > 0 && !grant.raise.refused && !isWitnessSilent(grant, ceilingAnswerTimeout);
    });
}

void HolderImpl::flushRaises(LedgerActions& actions)
{
    for (auto& [witness, ceilings] : raises_)
        actions.emplace_back(SendRaise { witness, std::move(ceilings) });
    raises_.clear();
}

void HolderImpl::onCeilingsAcked(
    Incarnation from, const std::vector<Ceiling>& ceilings, Instant now, LedgerActions& actions)
{
    now_ = now;
    if (from == silentWitness_)
        silentUntil_ = now;
    for (const Ceiling& acked : ceilings) {
        const auto found = grants_.find(acked.grant.number);
        if (acked.grant.holder != self_ || found == grants_.end())
            continue;
        HolderGrant& grant = found->second;
        const Tokens before = grant.free();
        grant.onCeilingAcknowledged(from, acked.ceiling, acked.holderOnly);
        if (grant.free() > before)
            actions.emplace_back(TokensAvailable { grant.budget() });
    }
    flushRaises(actions);
}

void HolderImpl::onCeilingsRefused(
    Incarnation from, const std::vector<GrantId>& grants, Instant now, LedgerActions& actions)
{
    now_ = now;
    for (const GrantId& refused : grants) {
        const auto found = grants_.find(refused.number);
        if (refused.holder != self_ || found == grants_.end() || found->second.witness() != from)
            continue;
        found->second.raise.refused = true;
        updateBudget(found->second.budget(), budgetStateOf(found->second.budget()), actions);
    }
    flushRaises(actions);
}

} // namespace swiftlift::ledger::internal
