#include "swiftlift/transport/PeerLinks.h"

#include <array>
#include <atomic>
#include <thread>
#include <unordered_map>
#include <utility>

#include <zmq.hpp>

#include "swiftlift/wire/PeerCodec.h"

namespace swiftlift::transport {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr std::size_t sendRingCapacity = 4096;
    constexpr int maxReceiveQueueMessages = 4096;
    constexpr std::int64_t maxMessageBytes = 8 * 1024 * 1024;
    constexpr std::chrono::milliseconds idleWait { 500 };
    /** Maximum number of messages received before queued messages are sent. */
    constexpr int maxMessagesPerRound = 256;

    /** @return Whether the message is handled before the requests that wait: suspicions and the newest configuration
     * depend on it. */
    bool overtakes(const node::PeerMessage& message)
    {
        return std::holds_alternative<node::Heartbeat>(message) || std::holds_alternative<node::ReadAsk>(message)
            || std::holds_alternative<node::Records>(message);
    }

    /** @return True if the message belongs to the exchange of backend servers' loads. */
    bool isLoadMessage(const node::PeerMessage& message)
    {
        return std::holds_alternative<node::LoadReport>(message) || std::holds_alternative<node::LoadDigest>(message);
    }

    int toIntMilliseconds(std::chrono::milliseconds time) { return static_cast<int>(time.count()); }

} // namespace

struct PeerLinks::State {
    State(PeerLinksSettings linksSettings, DecisionInbox& inbox, ControlTraffic& controlTraffic,
        logging::JsonLog& jsonLog)
        : settings(std::move(linksSettings))
        , decisions(inbox)
        , traffic(controlTraffic.peers)
        , loadTraffic(controlTraffic.loads)
        , log(jsonLog)
        , sends(sendRingCapacity)
        , context(1)
        , router(context, zmq::socket_type::router)
    {
    }

    struct Link {
        zmq::socket_t dealer;
        Clock::time_point lastUse;
    };

    void configure(zmq::socket_t& socket) const;
    void run();
    void receivePending();
    void handleMessage(const zmq::message_t& message);
    void sendPending();
    void send(const node::SendPeer& outgoing);
    [[nodiscard]] Link& linkTo(const PeerAddress& peer);
    [[nodiscard]] std::string connectAddress(const PeerAddress& peer) const;
    void closeIdleLinks();

    const PeerLinksSettings settings;
    DecisionInbox& decisions;
    TrafficCounter& traffic;
    /** The part of `traffic` that tells loads of backend servers. */
    TrafficCounter& loadTraffic;
    logging::JsonLog& log;
    PeerInbox sends;
    zmq::context_t context;
    zmq::socket_t router;
    std::unordered_map<PeerAddress, Link> links;
    std::atomic<std::uint64_t> incarnation = 0;
    std::atomic<std::uint64_t> dropped = 0;
    std::atomic<bool> stopping = false;
    std::string lastReason;
    std::thread thread;
};

void PeerLinks::State::configure(zmq::socket_t& socket) const
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::maxmsgsize, maxMessageBytes);
    socket.set(zmq::sockopt::heartbeat_ivl, toIntMilliseconds(settings.heartbeat));
    socket.set(zmq::sockopt::heartbeat_timeout, toIntMilliseconds(settings.heartbeatLimit));
    // Set explicitly: a TCP_USER_TIMEOUT of the library's choice would decide in place of the heartbeats.
    socket.set(zmq::sockopt::tcp_maxrt, toIntMilliseconds(settings.heartbeatLimit));
}

void PeerLinks::State::run()
{
    auto nextSweep = Clock::now() + idleWait;
    while (!stopping.load()) {
        std::array<zmq::pollitem_t, 2> items { { { router.handle(), 0, ZMQ_POLLIN, 0 },
            { nullptr, sends.wakeup().descriptor(), ZMQ_POLLIN, 0 } } };
        try {
            zmq::poll(items, idleWait);
            receivePending();
            sendPending();
        } catch (const zmq::error_t& error) {
            // An interrupted system call (EINTR) or an invalid peer address must not end the thread.
            log.write(logging::Level::Warning, "peer_link", { { "error", std::string(error.what()) } });
        }
        if (Clock::now() >= nextSweep) {
            nextSweep = Clock::now() + idleWait;
            closeIdleLinks();
        }
    }
    sendPending();
    links.clear();
    router.close();
}

void PeerLinks::State::receivePending()
{
    for (int round = 0; round < maxMessagesPerRound; ++round) {
        zmq::message_t identity;
        if (!router.recv(identity, zmq::recv_flags::dontwait)) {
            return;
        }
        zmq::message_t body;
        bool more = router.get(zmq::sockopt::rcvmore) != 0;
        while (more) {
            static_cast<void>(router.recv(body, zmq::recv_flags::dontwait));
            more = router.get(zmq::sockopt::rcvmore) != 0;
        }
        handleMessage(body);
    }
}

void PeerLinks::State::handleMessage(const zmq::message_t& message)
{
    traffic.received += message.size();
    auto envelope = wire::decodePeerEnvelope(message.to_string_view());
    const Incarnation self(incarnation.load());
    // Without this check, a message to the previous incarnation at this address would be accepted, for example an
    // acknowledgement of ceilings that this incarnation never requested.
    const bool addressedToSelf
        = envelope && (envelope->receiver == Incarnation {} || envelope->receiver == self) && envelope->sender != self;
    if (!addressedToSelf) {
        ++dropped;
        return;
    }
    loadTraffic.received += isLoadMessage(envelope->message) ? message.size() : 0;
    TaggedEvent event { envelope->receiver,
        node::PeerReceived { envelope->sender, std::move(envelope->senderAddress), std::move(envelope->message),
            envelope->shard, steadyInstant() } };
    const bool pushed = overtakes(std::get<node::PeerReceived>(event.event).message)
        ? decisions.tryPushUrgent(event)
        : decisions.tryPush(event, reservedEvents);
    if (!pushed) {
        ++dropped;
    }
}

void PeerLinks::State::sendPending()
{
    sends.wakeup().consume();
    while (const auto outgoing = sends.tryPop()) {
        send(*outgoing);
    }
}

void PeerLinks::State::send(const node::SendPeer& outgoing)
{
    const std::string bytes = wire::encodePeerEnvelope(
        { Incarnation(incarnation.load()), settings.self, outgoing.receiver, outgoing.message, outgoing.shard });
    auto& link = linkTo(outgoing.to);
    link.lastUse = Clock::now();
    if (link.dealer.send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
        traffic.sent += bytes.size();
        loadTraffic.sent += isLoadMessage(outgoing.message) ? bytes.size() : 0;
    } else {
        ++dropped;
    }
}

PeerLinks::State::Link& PeerLinks::State::linkTo(const PeerAddress& peer)
{
    if (const auto found = links.find(peer); found != links.end()) {
        return found->second;
    }
    zmq::socket_t dealer(context, zmq::socket_type::dealer);
    configure(dealer);
    dealer.set(zmq::sockopt::sndhwm, settings.queued);
    dealer.set(zmq::sockopt::connect_timeout, toIntMilliseconds(settings.connectLimit));
    dealer.set(zmq::sockopt::reconnect_ivl, toIntMilliseconds(settings.reconnect));
    dealer.set(zmq::sockopt::reconnect_ivl_max, toIntMilliseconds(settings.reconnectMost));
    dealer.connect("tcp://" + connectAddress(peer));
    return links.emplace(peer, Link { std::move(dealer), Clock::now() }).first->second;
}

std::string PeerLinks::State::connectAddress(const PeerAddress& peer) const
{
    const auto found = settings.via.find(peer);
    return found == settings.via.end() ? peer.value() : toText(found->second);
}

void PeerLinks::State::closeIdleLinks()
{
    const auto oldest = Clock::now() - settings.idleLimit;
    std::erase_if(links, [&](const auto& entry) { return entry.second.lastUse < oldest; });
}

PeerLinks::PeerLinks(
    PeerLinksSettings settings, DecisionInbox& decisions, ControlTraffic& traffic, logging::JsonLog& log)
    : state_(std::make_unique<State>(std::move(settings), decisions, traffic, log))
{
}

PeerLinks::~PeerLinks() { stop(); }

bool PeerLinks::listen()
{
    try {
        state_->configure(state_->router);
        state_->router.set(zmq::sockopt::rcvhwm, maxReceiveQueueMessages);
        state_->router.bind("tcp://" + state_->settings.self.value());
        return true;
    } catch (const zmq::error_t& error) {
        state_->lastReason = state_->settings.self.value() + ": " + error.what();
        return false;
    }
}

const std::string& PeerLinks::lastReason() const noexcept { return state_->lastReason; }

void PeerLinks::start()
{
    state_->thread = std::thread([state = state_.get()] { state->run(); });
}

void PeerLinks::stop()
{
    state_->stopping.store(true);
    state_->sends.wakeup().signal();
    if (state_->thread.joinable()) {
        state_->thread.join();
    }
}

void PeerLinks::setIncarnation(Incarnation incarnation) noexcept { state_->incarnation.store(incarnation.value()); }

PeerInbox& PeerLinks::inbox() noexcept { return state_->sends; }

std::uint64_t PeerLinks::dropped() const noexcept { return state_->dropped.load(); }

} // namespace swiftlift::transport
