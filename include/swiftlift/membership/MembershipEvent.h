#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::membership {

/** What a heartbeat says of its sender. */
struct HeartbeatFacts {
    FailureDomain domain;
    Region region;
    bool stopping = false;
    bool logReachable = false;
};

/** A line of the platform's list of VMs: lagging, advice only. */
struct ListedVm {
    PeerAddress address;
    FailureDomain domain;
    Region region;
    bool leaving = false;
};

enum class SuspicionCause : std::uint8_t {
    Silent,
    /** Another incarnation lives at its address: this one is over for good. */
    Replaced,
};

/** Heard for the first time, or for the first time since it was forgotten. */
struct Joined {
    Incarnation peer;
    PeerAddress address;
    FailureDomain domain;
};
/** Its grants may be sealed; a wrong suspicion costs refusals, never money. */
struct Suspected {
    Incarnation peer;
    PeerAddress address;
    SuspicionCause cause = SuspicionCause::Silent;
    Duration silence {};
};
struct Recovered {
    Incarnation peer;
    PeerAddress address;
};
/** Out of the books: replaced, retired by the ledger, or long silent and no longer listed. */
struct Left {
    Incarnation peer;
    PeerAddress address;
};
/** This process did not run for `gap`: the silence was its own, nobody is suspected for it. */
struct SelfPaused {
    Duration gap {};
};

using MembershipEvent = std::variant<Joined, Suspected, Recovered, Left, SelfPaused>;

/** What a tick asks for. */
struct MembershipActions {
    /** Addresses to send a heartbeat now. */
    std::vector<PeerAddress> heartbeats;
    /** Since the last tick, in order. */
    std::vector<MembershipEvent> events;
};

} // namespace swiftlift::membership
