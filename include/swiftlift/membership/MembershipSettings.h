#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::membership {

/** @brief Which peers may witness the grants of a router whose failure domain has no other live VM. */
enum class WitnessPolicy : std::uint8_t {
    /** None: grants stay usable during a network partition, but are lost completely with their holder. */
    OwnDomainOnly,
    /** A peer of another failure domain: grants survive their holder, but a network partition freezes the ceiling. */
    OtherDomainWhenAlone,
};

/** @brief Identity of this router, and periods and limits of its membership view. */
struct MembershipSettings {
    Incarnation self;
    PeerAddress address;
    FailureDomain domain;
    Region region;
    /** Addresses contacted besides those of the platform's list, so that peers are found before the list is read. */
    std::vector<PeerAddress> seeds;
    /** Seed of the random order of the rotations. */
    std::uint64_t seed = 1;

    /** Time between two rounds of heartbeats. */
    Duration heartbeatPeriod = std::chrono::milliseconds(500);
    /** Silence after which a peer is suspected, for peers that exchange heartbeats with this router in every period. */
    Duration silenceLimit = std::chrono::seconds(3);
    /** A longer gap between two ticks counts as a pause of this process. */
    Duration pauseThreshold = std::chrono::seconds(1);
    /** Time after which a suspected peer that the platform no longer lists is forgotten. */
    Duration forgetAfter = std::chrono::minutes(2);
    /** A longer wait of events in this process counts as a lag: the wait beyond which it refuses requests. Below half
     * the heartbeat period, so that a lag in which a heartbeat could be overlooked is never missed. */
    Duration lagThreshold = std::chrono::milliseconds(250);
    /** Heartbeats per period to peers of the own failure domain, by rotation; with at most this many peers there, each
     * gets one in every period. */
    std::uint32_t domainPerPeriod = 6;
    /** Heartbeats per period to peers of other failure domains, by rotation. */
    std::uint32_t remotePerPeriod = 2;
    /** Age up to which a peer's report that the log is reachable counts. Two heartbeat periods, in which a dozen or
     * more peers of a large fleet report, and half the time in which a router detects a log outage by itself. */
    Duration logReportLifetime = std::chrono::seconds(1);
    /** Whether a peer of another failure domain may be the witness. */
    WitnessPolicy witnessPolicy = WitnessPolicy::OtherDomainWhenAlone;
    /** Whether remote replicas are chosen; the heartbeats with them cost bandwidth between failure domains. */
    bool remoteReplica = false;
};

} // namespace swiftlift::membership
