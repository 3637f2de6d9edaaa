#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "swiftlift/base/Ids.h"
#include "swiftlift/logging/JsonLog.h"
#include "swiftlift/node/Action.h"
#include "swiftlift/ring/Inbox.h"
#include "swiftlift/transport/ControlTraffic.h"
#include "swiftlift/transport/Endpoint.h"
#include "swiftlift/transport/TaggedEvent.h"

namespace swiftlift::transport {

/** Addresses, timeouts and limits of the links between routers. */
struct PeerLinksSettings {
    /** Address on which this router listens for peers. */
    PeerAddress self;
    /** Substitute addresses to connect to, by peer; with them a test routes the traffic through a link simulator. */
    std::map<PeerAddress, Endpoint> via;
    /** Maximum number of messages queued for an unreachable peer; further messages are dropped. */
    int queued = 64;
    /** A link to a peer is closed if nothing has been sent to the peer for this long. */
    std::chrono::milliseconds idleLimit { 60'000 };
    /** Heartbeat interval. TCP alone would detect a network partition, and its end, only after minutes. */
    std::chrono::milliseconds heartbeat { 2'000 };
    /** Timeout for the answer to a heartbeat. */
    std::chrono::milliseconds heartbeatLimit { 4'000 };
    /** Timeout for connecting to a peer. */
    std::chrono::milliseconds connectLimit { 1'000 };
    /** Backoff before the first attempt to reconnect. */
    std::chrono::milliseconds reconnect { 100 };
    /** Maximum backoff before an attempt to reconnect. */
    std::chrono::milliseconds reconnectMost { 1'000 };
};

using PeerInbox = ring::Inbox<node::SendPeer>;

/**
 * @brief Messages between routers, over ZeroMQ: one bound ROUTER socket, and one DEALER socket for each peer.
 *
 * Delivery is best effort. Sending never blocks; a message is dropped if its queue is full, just as the network may
 * lose it.
 */
class PeerLinks {
public:
    /** Arguments that are passed by reference must outlive this object. */
    PeerLinks(PeerLinksSettings settings, DecisionInbox& decisions, ControlTraffic& traffic, logging::JsonLog& log);
    ~PeerLinks();
    PeerLinks(const PeerLinks&) = delete;
    PeerLinks& operator=(const PeerLinks&) = delete;

    /** @return Whether the address could be bound; if not, lastReason() has the reason. */
    [[nodiscard]] bool listen();
    [[nodiscard]] const std::string& lastReason() const noexcept;

    void start();
    void stop();

    /**
     * @brief Sets the sender's incarnation of all later messages. Can be called from any thread.
     *
     * Received messages that are addressed to another incarnation are dropped.
     */
    void setIncarnation(Incarnation incarnation) noexcept;

    /** @return The ring from which the thread of the links takes messages to send. */
    [[nodiscard]] PeerInbox& inbox() noexcept;

    /**
     * @return Number of messages dropped: the queue to the peer was full, the message could not be decoded or was not
     * addressed to this incarnation, or the decision thread's ring had no room.
     */
    [[nodiscard]] std::uint64_t dropped() const noexcept;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace swiftlift::transport
