#include <algorithm>
#include <sstream>
#include <utility>

#include "ledger/ExploreText.h"
#include "ledger/ExploreWorld.h"

namespace swiftlift::ledger::explore {

std::optional<DrawDecision> FixedPolicy::draw(const BudgetSituation& situation) const
{
    if (situation.need <= situation.largestFree || situation.drawn >= Tokens { setup.maxDrawn })
        return {};
    return DrawDecision { std::max(Tokens { setup.chunk }, situation.need), situation.need };
}

Node::Node(Incarnation incarnation, std::unique_ptr<HoldingPolicy> policy, std::shared_ptr<const Fold> start)
    : id(incarnation)
    , fold(std::move(start))
    , holder(incarnation, std::move(policy), *fold)
    , witness(incarnation, *fold)
{
}

Node::Node(const Node& other)
    : id(other.id)
    , fold(other.fold)
    , position(other.position)
    , holder(other.holder, *fold)
    , witness(other.witness, *fold)
    , environment(other.environment)
    , now(other.now)
    , outbox(other.outbox)
    , sequence(other.sequence)
    , started(other.started)
    , running(other.running)
    , answered(other.answered)
    , witnessChoice(other.witnessChoice)
    , ticks(other.ticks)
    , crashed(other.crashed)
    , suspected(other.suspected)
{
}

void Node::advanceTo(std::shared_ptr<const Fold> later)
{
    holder = Holder(holder, *later);
    witness = Witness(witness, *later);
    fold = std::move(later);
    ++position;
}

std::string Node::text() const
{
    std::ostringstream out;
    out << holder.stateText() << witness.stateText() << "at " << position << ' ' << now.time_since_epoch().count()
        << " sequence " << sequence << " choice " << witnessChoice << " ticks " << ticks << " crashed " << crashed
        << " stopping " << environment.stopping << '\n';
    for (const Item& item : outbox)
        out << item.sequence << ' ' << textOf(item.entry) << '\n';
    for (const std::size_t index : started)
        out << "started " << index << ' ';
    for (const Running& request : running)
        out << "running " << request.reservation.key.low << ' ' << textOf(request.reservation.grant) << ' '
            << request.reservation.loan << ' ';
    for (const Running& request : answered)
        out << "answered " << request.reservation.key.low << ' ' << request.actual << ' ';
    for (const std::size_t other : suspected)
        out << "suspects " << other << ' ';
    return out.str();
}

} // namespace swiftlift::ledger::explore
