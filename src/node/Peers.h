#pragma once

#include <chrono>
#include <optional>
#include <vector>

#include "node/Context.h"
#include "swiftlift/membership/Membership.h"

namespace swiftlift::node {

/** The other routers: who lives, and how to send to them. */
class Peers {
public:
    explicit Peers(Context& context);

    void onHeartbeat(Incarnation from, const PeerAddress& address, const Heartbeat& heartbeat);
    void onVmList(const std::vector<ListedVm>& vms);

    /** Sends due heartbeats, logs what changed. @return Peers suspected since the last tick. */
    [[nodiscard]] std::vector<Incarnation> tick(const Heartbeat& own);

    /** Sends to an incarnation; dropped when nobody knows where it is, as any message may be. */
    void send(Incarnation to, PeerMessage message, std::uint32_t shard = 0);

    /** @return Whom to ask for a stream's records: one that reaches the log, else the nearest that lives. */
    [[nodiscard]] std::optional<Incarnation> bestReader() const;

    [[nodiscard]] membership::Membership& membership() noexcept { return membership_; }
    [[nodiscard]] const membership::Membership& membership() const noexcept { return membership_; }

private:
    void report(const membership::MembershipEvent& event, std::vector<Incarnation>& suspected);

    Context& context_;
    membership::Membership membership_;
};

} // namespace swiftlift::node
