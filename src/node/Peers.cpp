#include "node/Peers.h"

#include <utility>

namespace swiftlift::node {

namespace internal {

    [[nodiscard]] membership::MembershipSettings membershipSettings(const CoreSettings& settings)
    {
        membership::MembershipSettings result;
        result.self = settings.incarnation;
        result.address = settings.peerAddress;
        result.domain = settings.domain;
        result.region = settings.region;
        result.seeds = settings.seeds;
        result.seed = settings.seed;
        result.witnessPolicy = membership::WitnessPolicy::OwnDomainOnly;
        result.remoteReplica = settings.answersWaitForBills();
        return result;
    }

    class EventLogger {
    public:
        EventLogger(Context& context, std::vector<Incarnation>& suspected)
            : context_(context)
            , suspected_(suspected)
        {
        }

        void operator()(const membership::Joined& event)
        {
            write("joined", event.peer, event.address, event.domain.value());
        }

        void operator()(const membership::Suspected& event)
        {
            suspected_.push_back(event.peer);
            const bool silent = event.cause == membership::SuspicionCause::Silent;
            write("suspected", event.peer, event.address, silent ? "silent" : "replaced");
        }

        void operator()(const membership::Recovered& event) { write("recovered", event.peer, event.address, ""); }
        void operator()(const membership::Left& event) { write("left", event.peer, event.address, ""); }

        void operator()(const membership::SelfPaused& event)
        {
            context_.log(
                LogLineBuilder("membership").with("change", "self_paused").with("gap_ms", toMilliseconds(event.gap)));
        }

    private:
        void write(const char* change, Incarnation peer, const PeerAddress& address, const std::string& detail)
        {
            context_.log(LogLineBuilder("membership")
                             .with("change", change)
                             .with("peer", toHex(peer.value()))
                             .with("address", address.value())
                             .with("detail", detail));
        }

        Context& context_;
        std::vector<Incarnation>& suspected_;
    };

} // namespace internal

Peers::Peers(Context& context)
    : context_(context)
    , membership_(internal::membershipSettings(context.settings()))
{
}

void Peers::onHeartbeat(Incarnation from, const PeerAddress& address, const Heartbeat& heartbeat)
{
    const membership::HeartbeatFacts facts { heartbeat.domain, heartbeat.region, heartbeat.stopping,
        heartbeat.logReachable, heartbeat.overloaded, heartbeat.bandwidth };
    membership_.onHeartbeat(from, address, facts, context_.now());
}

void Peers::onVmList(const std::vector<ListedVm>& vms)
{
    std::vector<membership::ListedVm> listed;
    listed.reserve(vms.size());
    for (const auto& vm : vms) {
        listed.push_back({ vm.address, vm.domain, vm.region, vm.leaving });
    }
    membership_.onVmList(listed, context_.now());
}

std::vector<Incarnation> Peers::tick(const std::function<Heartbeat()>& own)
{
    const membership::MembershipActions due = membership_.tick(context_.now());
    if (!due.heartbeats.empty()) {
        const Heartbeat heartbeat = own();
        for (const auto& address : due.heartbeats) {
            context_.emit(SendPeer { address, Incarnation {}, heartbeat });
        }
    }
    std::vector<Incarnation> suspected;
    for (const auto& event : due.events) {
        handleEvent(event, suspected);
    }
    return suspected;
}

void Peers::handleEvent(const membership::MembershipEvent& event, std::vector<Incarnation>& suspected)
{
    std::visit(internal::EventLogger(context_, suspected), event);
}

std::optional<Incarnation> Peers::bestReader() const
{
    if (const auto reader = membership_.logReachablePeer()) {
        return reader;
    }
    const auto alive = membership_.alivePeers();
    return alive.empty() ? std::nullopt : std::optional(alive.front());
}

void Peers::sendToAll(const Heartbeat& own)
{
    for (const Incarnation peer : membership_.alivePeers()) {
        send(peer, own);
    }
}

void Peers::sendToDomain(const Heartbeat& own)
{
    // Live peers are listed nearest first.
    std::vector<Incarnation> peers = membership_.alivePeers();
    peers.resize(membership_.counts().aliveInDomain);
    for (const Incarnation peer : peers) {
        send(peer, own);
    }
}

void Peers::send(Incarnation to, PeerMessage message, std::uint32_t shard)
{
    if (const auto address = membership_.addressOf(to)) {
        context_.emit(SendPeer { *address, to, std::move(message), shard });
    }
}

} // namespace swiftlift::node
