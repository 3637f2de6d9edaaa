#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::membership {

/** @brief What a heartbeat reports about its sender. */
struct HeartbeatFacts {
    FailureDomain domain;
    Region region;
    bool stopping = false;
    bool logReachable = false;
    /** The sender asks the load balancer for no new callers, because of its CPU use or its lag. */
    bool overloaded = false;
    /** Bandwidth of the sender's link, in Mbit/s; 0: not known. */
    double bandwidth = 0;
};

/** @brief A VM in the platform's list. The list lags behind, so entries are hints only. */
struct ListedVm {
    PeerAddress address;
    FailureDomain domain;
    Region region;
    bool leaving = false;
};

/** @brief Why a peer is suspected. */
enum class SuspicionCause : std::uint8_t {
    /** No heartbeat within the peer's silence limit. */
    Silent,
    /** Another incarnation now runs at the peer's address; the peer has ended for good. */
    Replaced,
};

/** @brief First heartbeat of a peer that is unknown or was forgotten. */
struct Joined {
    Incarnation peer;
    PeerAddress address;
    FailureDomain domain;
};
/** @brief The peer is presumed dead and its grants may be sealed. A wrong suspicion costs refusals, never tokens. */
struct Suspected {
    Incarnation peer;
    PeerAddress address;
    SuspicionCause cause = SuspicionCause::Silent;
    Duration silence {};
};
/** @brief A suspected peer sent a heartbeat and is alive again. */
struct Recovered {
    Incarnation peer;
    PeerAddress address;
};
/** @brief The peer was removed: replaced, retired by the ledger, or long silent and no longer listed. */
struct Left {
    Incarnation peer;
    PeerAddress address;
};
/** @brief This process did not run for `gap`. No peer is suspected for silence during that time. */
struct SelfPaused {
    Duration gap {};
};

/** @brief A change in the view of the other routers. */
using MembershipEvent = std::variant<Joined, Suspected, Recovered, Left, SelfPaused>;

/** @brief Result of one tick. */
struct MembershipActions {
    /** Addresses to send a heartbeat to now. */
    std::vector<PeerAddress> heartbeats;
    /** Events since the last tick, oldest first. */
    std::vector<MembershipEvent> events;
};

} // namespace swiftlift::membership
