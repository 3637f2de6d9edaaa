#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::membership {

/** Who may witness the grants of a router whose failure domain has no other live VM. */
enum class WitnessPolicy : std::uint8_t {
    /** Nobody: grants stay usable during a cut, and are lost whole with their holder. */
    OwnDomainOnly,
    /** A peer of another failure domain: grants survive their holder, and a cut freezes the ceiling. */
    OtherDomainWhenAlone,
};

struct MembershipSettings {
    Incarnation self;
    PeerAddress address;
    FailureDomain domain;
    Region region;
    /** Addresses to try before the platform's list has been read. */
    std::vector<PeerAddress> seeds;
    std::uint64_t seed = 1;

    Duration heartbeatPeriod = std::chrono::milliseconds(500);
    /** A peer that speaks in every period is suspected after this long without a word. */
    Duration silenceLimit = std::chrono::seconds(3);
    /** A longer gap between two ticks is this process's own pause. */
    Duration pauseThreshold = std::chrono::seconds(1);
    /** A suspected peer that the platform no longer lists is forgotten after this long. */
    Duration forgetAfter = std::chrono::minutes(2);
    /** Heartbeats per period to peers of the own failure domain, in turn; a domain of no more peers hears all of them.
     */
    std::uint32_t domainPerPeriod = 6;
    /** Heartbeats per period to peers beyond the failure domain, in turn. */
    std::uint32_t remotePerPeriod = 2;
    /** A peer's word that it reaches the log counts for this long: two periods, in which a dozen and more peers speak
     * in a large fleet, and half of what an outage takes to be noticed by a router itself. */
    Duration logWordLifetime = std::chrono::seconds(1);
    WitnessPolicy witnessPolicy = WitnessPolicy::OtherDomainWhenAlone;
    /** Whether a peer beyond the failure domain is chosen to keep copies; its heartbeats cost bytes between domains. */
    bool remoteReplica = false;
};

} // namespace swiftlift::membership
