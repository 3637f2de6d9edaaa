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
    for (const Ceiling& request : ceilings) {
        // Rule W1: an acknowledgement after the seal would let the holder spend more than the sealed ceiling. A
        // suspicion is never withdrawn.
        if (suspected_.contains(from) || request.grant.holder != from) {
            refused.grants.push_back(request.grant);
            continue;
        }
        // Rule W2: a request for a grant that was not read from the log yet is skipped. The holder repeats the request,
        // and the fold may still refuse the grant.
        const std::optional<GrantView> grant = fold_->grant(request.grant);
        if (!grant)
            continue;
        // Rule W3: only the witness that the log names can seal a grant, so only that witness may acknowledge ceilings.
        if (grant->witness != self_ || grant->state != GrantState::Open) {
            refused.grants.push_back(request.grant);
            continue;
        }
        Tokens& highest = acknowledged_[request.grant];
        highest = std::max(highest, request.ceiling);
        if (request.holderOnly)
            holderOnly_.insert(request.grant);
        acked.ceilings.push_back(Ceiling { request.grant, highest, holderOnly_.contains(request.grant) });
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
            appendSeal(grant, actions);
    }
}

// Rule W4: the seal states the highest ceiling that this witness ever acknowledged, including those from before a
// change of witness: an acknowledgement may reach the holder late, after the grant has been moved to another witness
// and back.
void Witness::appendSeal(const GrantView& grant, LedgerActions& actions)
{
    if (grant.witness != self_ || grant.state != GrantState::Open || !sealAppended_.insert(grant.id).second)
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
        sealAppended_.erase(*changed);
        holderOnly_.erase(*changed);
        return;
    }
    // Rule W5: a grant of a suspected holder may be drawn, or be moved to this witness, after the suspicion.
    if (grant->witness != self_)
        sealAppended_.erase(*changed);
    else if (suspected_.contains(changed->holder))
        appendSeal(*grant, actions);
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
    for (const GrantId& grant : sealAppended_)
        out << " sealing " << grant.holder << ':' << grant.number;
    for (const GrantId& grant : holderOnly_)
        out << " alone " << grant.holder << ':' << grant.number;
    out << '\n';
    return out.str();
}

} // namespace swiftlift::ledger
