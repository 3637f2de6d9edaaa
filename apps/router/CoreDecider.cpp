#include "CoreDecider.h"

#include <utility>

namespace swiftlift::router {

CoreDecider::CoreDecider(node::CoreSettings settings)
    : core_(std::move(settings))
{
}

void CoreDecider::start(Instant now, node::Actions& actions) { core_.start(now, actions); }

void CoreDecider::handle(const node::Event& event, Instant now, node::Actions& actions)
{
    core_.handle(event, now, actions);
}

node::CoreSettings toCoreSettings(const settings::RouterSettings& settings, Incarnation incarnation, std::uint64_t seed)
{
    node::CoreSettings core;
    core.incarnation = incarnation;
    core.peerAddress = settings.vm.peer;
    core.domain = settings.vm.domain;
    core.region = settings.vm.region;
    core.seeds = settings.peers.seeds;
    core.ledgerShards = settings.ledger.shards;
    core.seed = seed;
    core.moneyPolicy = settings::toText(settings.ledger.policy);
    core.splitWays = settings.ledger.splitWays;
    core.routingPolicy = settings::toText(settings.routing);
    return core;
}

} // namespace swiftlift::router
