#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <vector>

#include "node/Context.h"
#include "swiftlift/membership/Membership.h"

namespace swiftlift::node {

/** The other routers: their membership state, and sending messages to them. */
class Peers {
public:
    explicit Peers(Context& context);

    void onHeartbeat(Incarnation from, const PeerAddress& address, const Heartbeat& heartbeat);
    void onVmList(const std::vector<ListedVm>& vms);

    /**
     * @brief Sends due heartbeats and logs membership changes.
     * @param own Makes the heartbeat to send.
     * @return Peers suspected since the last tick.
     */
    [[nodiscard]] std::vector<Incarnation> tick(const std::function<Heartbeat()>& own);

    /**
     * @brief Sends a message to an incarnation. Like any message, it may be lost: it is dropped when the incarnation's
     * address is unknown.
     * @param shard Number of the ledger shard that the message belongs to; 0 for messages of no shard.
     */
    void send(Incarnation to, PeerMessage message, std::uint32_t shard = 0);

    /** Sends a heartbeat to all live peers now, because it has news that they need at once. */
    void sendToAll(const Heartbeat& own);

    /** Sends a heartbeat to all live peers of the own failure domain now. */
    void sendToDomain(const Heartbeat& own);

    /** @return The peer to request a stream's records from: one that reaches the log, otherwise the nearest alive peer;
     * std::nullopt when no peer is alive. */
    [[nodiscard]] std::optional<Incarnation> bestReader() const;

    [[nodiscard]] membership::Membership& membership() noexcept { return membership_; }
    [[nodiscard]] const membership::Membership& membership() const noexcept { return membership_; }

private:
    /** Logs the event; adds the peer to `suspected` if the event is a suspicion. */
    void handleEvent(const membership::MembershipEvent& event, std::vector<Incarnation>& suspected);

    Context& context_;
    membership::Membership membership_;
};

} // namespace swiftlift::node
