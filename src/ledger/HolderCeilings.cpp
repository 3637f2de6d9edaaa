#include <algorithm>

#include "ledger/HolderImpl.h"

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    constexpr Incarnation nobody {};
    constexpr Duration firstRepeat = 100ms;
    constexpr std::uint32_t mostDoublings = 4;
    /** After this long without an answer the witness is not counted on. */
    constexpr Duration answerPatience = 500ms;
    /** After this long without the log, answers go out whose bills only this process knows of. */
    constexpr Duration outagePatience = 1s;
    /** After this long without an answer another witness is named. */
    constexpr Duration changePatience = 1s;
    /** A witness that was silent is named again after this long: by then it has read what it lacked, or is suspected.
     */
    constexpr Duration silencePause = 3s;
    /** Another witness has to be the better one for this long before one that answers is replaced. */
    constexpr Duration settledWitness = 3s;

    Duration pauseAfter(std::uint32_t attempts)
    {
        return firstRepeat * (1U << std::min(attempts == 0 ? 0U : attempts - 1U, mostDoublings));
    }

} // namespace

void HolderImpl::raiseCeilings(const HolderBudgetState& desk, const BudgetSituation& situation, LedgerActions& actions)
{
    if (leaving() && desk.wants.empty())
        return;
    const Tokens headRoom = std::max(policy_->headRoom(situation), situation.waiting);
    for (const std::uint32_t number : desk.grants) {
        HolderGrant& grant = grants_.at(number);
        moveWitness(grant, headRoom, actions);
        raiseCeiling(grant, headRoom, situation.waiting);
    }
}

// Asks ahead of need, from half of the head-room on. What was asked is asked again until it is acknowledged: messages
// get lost, and a witness that has not read the grant yet stays silent.
void HolderImpl::raiseCeiling(HolderGrant& grant, Tokens headRoom, Tokens waiting)
{
    if (!grant.isOpen() || grant.witness() == nobody || grant.changingWitness())
        return;
    const Tokens trigger = std::max(waiting, Tokens { (headRoom.value() + 1) / 2 });
    const bool holderOnly = policy_->witnessesClose() && inOutage();
    const bool wantsAlone = holderOnly && !grant.holderOnly();
    if (!wantsAlone && grant.ceiling() >= std::min(grant.amount(), grant.charge() + trigger))
        return;
    HolderGrant::Raise& raise = grant.raise;
    const bool asked = raise.attempts > 0;
    const bool enough
        = raise.holderOnly == holderOnly && raise.asked >= std::min(grant.amount(), grant.charge() + waiting);
    if (asked && (enough || raise.refused) && now_ < raise.askedAt + pauseAfter(raise.attempts))
        return;
    if (!asked)
        raise.firstAskedAt = now_;
    raise.asked = std::min(grant.amount(), grant.charge() + headRoom);
    raise.holderOnly = holderOnly;
    raise.askedAt = now_;
    ++raise.attempts;
    raises_[grant.witness()].push_back(Ceiling { grant.id(), raise.asked, holderOnly });
}

// H6: the change states the ceiling that holds until it is read back.
void HolderImpl::moveWitness(HolderGrant& grant, Tokens headRoom, LedgerActions& actions)
{
    noteSilence(grant);
    const Incarnation better = witnessToName();
    if (!policy_->witnessed() || !environment_.logReachable || leaving())
        return;
    if (!grant.isOpen() || grant.changingWitness() || grant.holderOnly() || better == grant.witness())
        return;
    const bool silent = grant.raise.refused || witnessSilent(grant, changePatience);
    const bool settled = better != nobody && now_ - witnessSince_ >= settledWitness;
    if (!silent && !settled)
        return;
    const Tokens ceiling = grant.changeWitness(better, headRoom);
    actions.emplace_back(AppendEntry { ChangeWitness { grant.id(), better, ceiling } });
}

// What goes wrong otherwise: after an outage a witness that is slow to read the log knows none of the new grants and
// stays silent. Each draw names it again, nothing of it may be spent, and the next draw takes half of what is left. One
// notices by grants in quick succession of which nothing is billed, and by refusals beside them. A grant without a
// witness is spendable as soon as it is read; it is lost with its holder, which is the smaller loss.
void HolderImpl::noteSilence(const HolderGrant& grant)
{
    if (grant.witness() == nobody || !grant.isOpen() || !witnessSilent(grant, answerPatience))
        return;
    silentWitness_ = grant.witness();
    silentUntil_ = now_ + silencePause;
}

Incarnation HolderImpl::witnessToName() const
{
    const Incarnation witness = environment_.witness.value_or(nobody);
    return witness == silentWitness_ && now_ < silentUntil_ ? nobody : witness;
}

bool HolderImpl::inOutage() const { return logLostAt_ && now_ - *logLostAt_ >= outagePatience; }

// What goes wrong: a request is accepted on a grant whose witness can't be asked, and its bill finds the grant closed:
// the caller has had its tokens and is told "unknown". One notices by answers that end with bill_refused.
bool HolderImpl::insecure(const HolderGrant& grant) const
{
    const bool witnessed = grant.witness() != nobody && policy_->witnessesClose();
    const bool witnessHere = environment_.witness == grant.witness() && !witnessSilent(grant, answerPatience);
    return witnessed && !grant.holderOnly() && !witnessHere && !environment_.logReachable;
}

// A grant whose witness has promised not to close it would be lost with this process. Once the log is back it is
// exchanged for one that the witness may close.
void HolderImpl::replaceAlone(const HolderBudgetState& desk, LedgerActions& actions)
{
    if (!environment_.logReachable || !policy_->renewsAlone())
        return;
    for (const std::uint32_t number : desk.grants) {
        HolderGrant& grant = grants_.at(number);
        if (!grant.isOpen() || !grant.holderOnly())
            continue;
        const Tokens remainder = grant.remainder();
        if (grant.idle()) {
            close(grant, actions);
        } else if (remainder > Tokens {}) {
            grant.giveBack(remainder);
            actions.emplace_back(AppendEntry { Return { grant.id(), remainder } });
        }
    }
}

bool HolderImpl::witnessSilent(const HolderGrant& grant, Duration patience) const
{
    return grant.raise.attempts > 0 && now_ - grant.raise.firstAskedAt > patience;
}

bool HolderImpl::raisePending(const HolderBudgetState& desk, Tokens amount) const
{
    return std::ranges::any_of(desk.grants, [&](std::uint32_t number) {
        const HolderGrant& grant = grants_.at(number);
        if (grant.remainder() < amount)
            return false;
        if (grant.changingWitness())
            return environment_.logReachable;
        return grant.raise.attempts > 0 && !grant.raise.refused && !witnessSilent(grant, answerPatience);
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
        grant.acknowledged(from, acked.ceiling, acked.holderOnly);
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
        work(found->second.budget(), deskOf(found->second.budget()), actions);
    }
    flushRaises(actions);
}

} // namespace swiftlift::ledger::internal
