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

struct PeerLinksSettings {
    /** Where peers reach this router. */
    PeerAddress self;
    /** Peers that are reached by way of another address, so that a test's link stands in between. */
    std::map<PeerAddress, Endpoint> via;
    /** Messages that wait for one peer that can't be reached; further ones are dropped. */
    int queued = 64;
    /** A link to a peer that nothing has been sent to for that long is closed. */
    std::chrono::milliseconds idleLimit { 60'000 };
    /** TCP alone would find out about a cut, and about its end, only after minutes. */
    std::chrono::milliseconds heartbeat { 2'000 };
    std::chrono::milliseconds heartbeatLimit { 4'000 };
    std::chrono::milliseconds connectLimit { 1'000 };
    std::chrono::milliseconds reconnect { 100 };
    std::chrono::milliseconds reconnectMost { 1'000 };
};

using PeerInbox = ring::Inbox<node::SendPeer>;

/**
 * @brief Messages between routers, over ZeroMQ: one ROUTER that is bound, one DEALER to each destination.
 *
 * Fire and forget. Sends never wait; what finds its queue full is dropped, as the network may drop it too.
 */
class PeerLinks {
public:
    /** What is given by reference outlives the links. */
    PeerLinks(PeerLinksSettings settings, DecisionInbox& decisions, ControlTraffic& traffic, logging::JsonLog& log);
    ~PeerLinks();
    PeerLinks(const PeerLinks&) = delete;
    PeerLinks& operator=(const PeerLinks&) = delete;

    /** @return Whether the address could be taken; else see lastReason(). */
    [[nodiscard]] bool listen();
    [[nodiscard]] const std::string& lastReason() const noexcept;

    void start();
    void stop();

    /** Goes on each message sent from now on; messages for another incarnation are dropped. For any thread. */
    void setIncarnation(Incarnation incarnation) noexcept;

    /** @return The ring of this thread. */
    [[nodiscard]] PeerInbox& inbox() noexcept;

    /** @return Messages that could not be sent or were not for us. */
    [[nodiscard]] std::uint64_t dropped() const noexcept;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace swiftlift::transport
