#include "swiftlift/ledger/Witness.h"

#include <algorithm>
#include <optional>
#include <sstream>

namespace swiftlift::ledger {

Witness::Witness(Incarnation self, const Fold& fold)
    : self_(self)
    , fold_(&fold)
{
}

Witness::Witness(const Witness& other, const Fold& fold)
    : Witness(other)
{
    fold_ = &fold;
}

void Witness::onRaise(Incarnation from, const std::vector<Ceiling>& ceilings, LedgerActions& actions)
{
    SendCeilingsAcked acked { from, {} };
    SendCeilingsRefused refused { from, {} };
    for (const Ceiling& raise : ceilings) {
        // W1: an acknowledgement after the seal would let the holder pass the sealed ceiling. Suspicion is for good.
        if (suspected_.contains(from) || raise.grant.holder != from) {
            refused.grants.push_back(raise.grant);
            continue;
        }
        // W2: a grant not read yet is passed over. The holder repeats its raise, and the grant may still be refused.
        const std::optional<GrantView> grant = fold_->grant(raise.grant);
        if (!grant)
            continue;
        // W3: only the witness that the log names can seal, so only its word binds.
        if (grant->witness != self_ || grant->state != GrantState::Open) {
            refused.grants.push_back(raise.grant);
            continue;
        }
        Tokens& highest = acknowledged_[raise.grant];
        highest = std::max(highest, raise.ceiling);
        if (raise.holderOnly)
            holderOnly_.insert(raise.grant);
        acked.ceilings.push_back(Ceiling { raise.grant, highest, holderOnly_.contains(raise.grant) });
    }
    if (!acked.ceilings.empty())
        actions.emplace_back(std::move(acked));
    if (!refused.grants.empty())
        actions.emplace_back(std::move(refused));
}

void Witness::suspect(Incarnation holder, LedgerActions& actions)
{
    if (!suspected_.insert(holder).second)
        return;
    for (const GrantView& grant : fold_->openGrants()) {
        if (grant.id.holder == holder)
            seal(grant, actions);
    }
}

// W4: the seal states the highest ceiling ever acknowledged, under any tenure: an acknowledgement may reach the holder
// late, after the grant has left this witness and come back.
void Witness::seal(const GrantView& grant, LedgerActions& actions)
{
    if (grant.witness != self_ || grant.state != GrantState::Open || !sealing_.insert(grant.id).second)
        return;
    const auto found = acknowledged_.find(grant.id);
    const Tokens ceiling = found == acknowledged_.end() ? Tokens {} : found->second;
    actions.emplace_back(AppendEntry { Seal { grant.id, self_, std::max(ceiling, grant.floor) } });
}

void Witness::onEffect(const Effect& effect, LedgerActions& actions)
{
    std::optional<GrantId> changed;
    if (const auto* const drawn = std::get_if<DrawDecided>(&effect))
        changed = drawn->grant;
    else if (const auto* const grant = std::get_if<GrantChanged>(&effect))
        changed = grant->grant;
    if (!changed)
        return;
    const std::optional<GrantView> grant = fold_->grant(*changed);
    if (!grant) {
        acknowledged_.erase(*changed);
        sealing_.erase(*changed);
        holderOnly_.erase(*changed);
        return;
    }
    // W5: a suspected holder's grant may land, or come here by a change, after the suspicion.
    if (grant->witness != self_)
        sealing_.erase(*changed);
    else if (suspected_.contains(changed->holder))
        seal(*grant, actions);
}

std::vector<GrantId> Witness::sealed() const
{
    std::vector<GrantId> result;
    for (const GrantView& grant : fold_->openGrants()) {
        if (grant.state == GrantState::Sealed && grant.witness == self_ && suspected_.contains(grant.id.holder)
            && !holderOnly_.contains(grant.id))
            result.push_back(grant.id);
    }
    return result;
}

std::string Witness::stateText() const
{
    std::ostringstream out;
    out << "witness " << self_;
    for (const auto& [grant, ceiling] : acknowledged_)
        out << " acknowledged " << grant.holder << ':' << grant.number << ' ' << ceiling;
    for (const Incarnation holder : suspected_)
        out << " suspects " << holder;
    for (const GrantId& grant : sealing_)
        out << " sealing " << grant.holder << ':' << grant.number;
    for (const GrantId& grant : holderOnly_)
        out << " alone " << grant.holder << ':' << grant.number;
    out << '\n';
    return out.str();
}

} // namespace swiftlift::ledger
