#pragma once

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "node/Context.h"
#include "node/EvacuationDirectory.h"
#include "node/ListCheck.h"
#include "node/LogHealth.h"
#include "node/LogPace.h"
#include "node/Peers.h"
#include "node/UnreadableRecords.h"
#include "node/VersionRecords.h"
#include "node/VmRegistry.h"
#include "swiftlift/fleet/BackendServer.h"
#include "swiftlift/fleet/FleetCodec.h"
#include "swiftlift/fleet/RouteTable.h"
#include "swiftlift/fleet/WarmupTracker.h"
#include "swiftlift/routing/BackendTable.h"
#include "swiftlift/streams/VersionHistory.h"

namespace swiftlift::node {

using RouteTablePtr = std::shared_ptr<const fleet::RouteTable>;

/** Receives changes of the configuration and of backend servers. */
class FleetListener {
public:
    FleetListener() = default;
    virtual ~FleetListener() = default;
    FleetListener(const FleetListener&) = delete;
    FleetListener& operator=(const FleetListener&) = delete;

    /** Handles that a configuration has come into force. */
    virtual void onConfig(const fleet::FleetConfig& config) = 0;
    /**
     * @brief Handles that a new instance of a backend server has started under the server's id.
     * @param server The server's id.
     * @param aliveAt A moment at which the previous instance still ran. Requests sent to it are lost.
     */
    virtual void onServerRestarted(const BackendId& server, Instant aliveAt) = 0;
    /**
     * @brief Handles that an instance of a backend server has renewed its entry.
     * @param server The server's entry.
     * @param at A moment at which the instance ran.
     */
    virtual void onServerSeen(const fleet::BackendServer& server, Instant at) = 0;
    /** Handles streams that began at routers before this one started, with their versions. */
    virtual void onStreamsRead(const std::map<StreamId, SoftwareVersion>& streams) = 0;
};

/**
 * @brief The fleet's configuration, evacuations, backend servers and VMs, as read from keyed streams of the log.
 *
 * A record that can't be decoded changes nothing: it is logged with its findings, and the previous record of its key
 * stays in force. FleetDirectory.cpp: operators' records and exchange with peers. FleetDirectoryServers.cpp: backend
 * servers.
 */
class FleetDirectory {
public:
    FleetDirectory(Context& context, Peers& peers, const LogHealth& health, routing::BackendTable& backends,
        FleetListener& listener);

    void start();
    /** Applies records of the configuration, backend server or VM stream. */
    void onRecords(const KeyedRecords& records);
    /** Handles what the log states of the stream of backend servers. */
    void on(const StreamEnd& event);
    /** @return True if routers exchange the records of this stream because one of them can't reach the log. */
    [[nodiscard]] static bool isExchanged(const StreamName& stream);
    /** Applies a configuration or evacuations that a peer has read. */
    void onPeerRecords(const Records& records);
    /**
     * @brief Handles what a peer states about its configuration. If that is newer than the one in force here, the
     * peer is asked for it, as this router's own read may hang or be turned away; if it is the same, it is confirmed.
     * @param from The peer.
     * @param config What the peer states.
     * @param at When the peer's statement arrived.
     */
    void onPeerConfig(Incarnation from, const ConfigState& config, Instant at);
    /** Handles that the log has answered a call of this router, of any stream. */
    void onLogAnswer();
    /** Records how late this router handles its events. */
    void onOwnDelay(Duration delay);
    /** Sends the configuration or the evacuations to a peer that can't reach the log, unless they are older than its
     * own. */
    void onReadAsk(Incarnation from, const ReadAsk& ask);
    void tick(bool stopping);
    /** Adapts the calls to the log to the number of routers. */
    void paceLogCalls(const LogPace& pace, std::uint32_t routers);
    /** Handles that the log has executed the append in flight to the stream of stream versions. */
    void onVersionsAppended();
    /** Handles that a call to the stream of stream versions has failed. */
    void onVersionsFailed() { versionRecords_.onLogFailure(); }

    /** @return The configuration in force; null before any has been read. Requests that hold the pointer keep their
     * configuration when a newer one comes into force. */
    [[nodiscard]] const RouteTablePtr& routes() const noexcept { return routes_; }
    /** @return True when the configuration stream was read to its end within the confirmation lifetime, here or by a
     * peer with the same configuration, so that the configuration in force is the newest. */
    [[nodiscard]] bool confirmed() const;
    /** @return True when a newer configuration may have to be in force already, and only this router's lag or failed
     * reads keep it from knowing. False in an outage of the log, in which no configuration is accepted. */
    [[nodiscard]] bool mayBeOutdated() const;
    /** @return The configuration in force, as peers are told. */
    [[nodiscard]] ConfigState configState() const;
    /** @return True once the list of all backend servers has been read. */
    [[nodiscard]] bool serversKnown() const noexcept { return serversKnown_; }
    /** @return The backend server; null when it is not registered. */
    [[nodiscard]] const fleet::BackendServer* server(const BackendId& id) const;
    [[nodiscard]] const std::map<BackendId, fleet::BackendServer>& servers() const noexcept { return servers_; }
    /** @return True if this VM is registered. */
    [[nodiscard]] bool registered() const { return vms_.registered(); }
    /** @return Number of registered VMs of the fleet, including this one. */
    [[nodiscard]] std::size_t vms() const noexcept { return vms_.size(); }
    [[nodiscard]] const EvacuationDirectory& evacuations() const noexcept { return evacuations_; }
    /** @return The software versions of each service's servers. */
    [[nodiscard]] const streams::VersionHistory& versions() const noexcept { return versions_; }
    /** @return Checks of the list of backend servers, and so of versions(). */
    [[nodiscard]] ListCheck& serverCheck() noexcept { return serverCheck_; }
    /** @return What the log keeps of streams. */
    [[nodiscard]] VersionRecords& versionRecords() noexcept { return versionRecords_; }
    [[nodiscard]] const VersionRecords& versionRecords() const noexcept { return versionRecords_; }
    /** @return The registered VMs, including this one. */
    [[nodiscard]] const std::vector<streams::KeeperCandidate>& vmList() const noexcept { return vms_.list(); }
    /** @return True if this router can read the log. */
    [[nodiscard]] bool logReachable() const { return health_.reachable(context_.now()); }
    /** @return Time since the list of backend servers was last read. */
    [[nodiscard]] Duration serversAge() const { return context_.now() - serversReadAt_; }
    /** @return Number of backend servers that are cold. */
    [[nodiscard]] std::size_t coldServers() const noexcept { return cold_.size(); }

    [[nodiscard]] static const StreamName& configStream();
    [[nodiscard]] static const StreamName& serverStream();

private:
    /** An accepted configuration has to be in force within 2 s, and a long-poll read returns within 1 s. */
    static constexpr Duration confirmationLifetime = std::chrono::milliseconds(1500);
    /** Age of the last confirmation beyond which no request is run while the configuration may be outdated: an accepted
     * configuration has to be in force within 3 s, and a request is dispatched some time after it is accepted. */
    static constexpr Duration maxConfirmationAge = std::chrono::milliseconds(2500);
    /** Time after which an answer of the log no longer shows that it answers: some of the long polls of all streams
     * return within it. */
    static constexpr Duration logAnswerLifetime = std::chrono::milliseconds(1200);
    /** Longest time for which a peer's heartbeat is assumed to have been under way; its sender may lag as well. */
    static constexpr Duration maxTransitTime = std::chrono::milliseconds(500);
    /** Wait of events beyond which this router lags: the wait beyond which it refuses requests. */
    static constexpr Duration lagThreshold = std::chrono::milliseconds(250);
    /** How long a lag counts after its end. Heartbeats that arrived during the lag are handled within this time. */
    static constexpr Duration lagHoldTime = std::chrono::seconds(1);
    /** Shortest pause between two reads of the backend servers. Each server renews its entry about every second, and
     * each record completes a long-poll read. The pause is a third of the 2 s in which a leaving server may still get
     * new work. */
    static constexpr Duration minServerReadPause = std::chrono::milliseconds(600);
    /** Part of this VM's link that configurations for peers may use. */
    static constexpr double configShareOfLink = 0.5;
    /** Time for which a configuration that was sent to a peer may be under way: the peer asks again meanwhile. */
    static constexpr Duration textTransitTime = std::chrono::seconds(1);
    /** Time between two requests for the configuration to a peer while the log is unreachable. */
    static constexpr Duration readAskPeriod = std::chrono::milliseconds(300);
    /**
     * How long missing entries are kept when most of a service's entries are missing.
     *
     * During an outage of the log the entries of working servers expire, and the service would have no backend server
     * until they have registered again, about 2 s after the outage. On the other hand, some servers announce that they
     * leave only by letting their entry expire, and may get no new work 2 s later. So a few missing entries are removed
     * at once; where most entries of a service are missing, an outage is the more likely cause.
     */
    static constexpr Duration missingGracePeriod = std::chrono::milliseconds(1500);

    /** How long the last entry of a server that is gone is remembered. The log executes a late write within seconds. */
    static constexpr Duration lateEntryTime = std::chrono::seconds(60);
    /** How long servers of a version get no requests because no record in the log names it. The log has executed the
     * write long before, unless it is out of reach for writes alone. */
    static constexpr Duration maxPublishTime = std::chrono::seconds(1);
    /** Shortest time between two writes of streams. Those that began since the last one are lost with all routers. */
    static constexpr Duration minRecordPeriod = std::chrono::milliseconds(50);
    /** Writes of streams take this part of the rate that the ledger's routine appends use. */
    static constexpr int recordRateDivisor = 2;

    /** The log may have answered a read, and the next records may have been written, this long before the answer is
     * handled here. */
    static constexpr Duration readLag = std::chrono::seconds(1);

    /** @return Time that the bytes take on the share of this VM's link that configurations for peers may use. */
    [[nodiscard]] Duration timeToSend(std::size_t bytes) const;
    /** Sends the configuration to peers that asked for it, one after the other, within its share of the link. */
    void sendToAskers();
    void applyConfig(Offset offset, const std::string& text, const char* source);
    void applyOperatorRecords(const KeyedRecords& records);
    /** Brings changed evacuations into force. */
    void applyEvacuations(const std::vector<fleet::EvacuationChange>& changes);
    void applyServers(const KeyedRecords& records);
    /** Handles that all servers were listed, at the start or because changes were missed. */
    void onServersListed();
    /** @param readBefore When the stream was read the previous time; the record was written after that. */
    void applyServer(const KeyedRecord& record, Instant readBefore);
    /** @return True if the instance has written a later entry, which this router has read; else this one is the last.
     */
    [[nodiscard]] bool isOutdated(const fleet::BackendServer& server);
    void forgetOldEntries();
    /** Notifies the listener of servers that have renewed their entries. */
    void notifyServersSeen(const KeyedRecords& records, Instant readBefore);
    /** Removes servers whose entries are missing, unless they are still kept. @return True when any was removed. */
    bool removeMissing();
    /** @return True when most of the service's ready servers have missing entries. */
    [[nodiscard]] bool isMajorityMissing(const ServiceName& service) const;
    /** @return Tokens that the memory of the service's engines holds; nullopt: not stated, or no engines. */
    [[nodiscard]] std::optional<Tokens> memoryOf(const ServiceName& service) const;
    /** @return How the service's servers bear requests while they are cold; null if they never are. */
    [[nodiscard]] const fleet::WarmupFacts* warmupOf(const ServiceName& service) const;
    [[nodiscard]] Duration warmupDurationOf(const ServiceName& service) const;
    /** @return The server's time as a cold one; nullopt: it is warm. */
    [[nodiscard]] std::optional<routing::ColdPeriod> coldPeriod(const fleet::BackendServer& server) const;
    /** Logs servers that have become cold or warm. */
    void noteColdServers();
    /** Records the software versions of each service's servers. */
    void recordVersions();
    /** @return True if the server's version is published, so that a router that starts knows of its streams. */
    [[nodiscard]] bool versionIsPublished(const fleet::BackendServer& server);
    /** @return True when a version has waited for its publication for as long as it may. */
    [[nodiscard]] bool publicationOverdue() const;
    void applyVersionRecords(const KeyedRecords& records);
    /** Sets the ready servers of each service in the backend table. */
    void publishBackends();
    /** Requests a newer configuration and newer evacuations from a peer. */
    void requestFromPeer();
    /** @return True when a peer has read a newer configuration, and this router hasn't read the log since. */
    [[nodiscard]] bool superseded() const;
    [[nodiscard]] std::uint64_t version() const { return routes_ ? routes_->config().version : 0; }
    void confirm(Instant at);

    Context& context_;
    Peers& peers_;
    const LogHealth& health_;
    routing::BackendTable& backends_;
    FleetListener& listener_;
    UnreadableRecords unreadable_;
    ListCheck serverCheck_;
    EvacuationDirectory evacuations_;
    VmRegistry vms_;
    fleet::WarmupTracker warmup_;
    streams::VersionHistory versions_;
    VersionRecords versionRecords_;
    /** Versions with servers that wait until it is published, and since when. */
    std::map<std::pair<ServiceName, SoftwareVersion>, Instant> unpublished_;
    /** Servers that were cold when the backend table was last set. */
    std::set<BackendId> cold_;
    RouteTablePtr routes_;
    Offset configOffset_;
    /** When the log was last known to hold no newer configuration. */
    std::optional<Instant> confirmedAt_;
    /** When the log first answered a call of this router after the last confirmation had expired. */
    std::optional<Instant> unconfirmedSince_;
    /** When the log last answered a call of this router. */
    Instant lastLogAnswerAt_ {};
    /** The newest configuration of which a peer has told, the peer, and when the peer had read it at the latest. */
    struct NewerConfig {
        std::uint64_t version = 0;
        Incarnation from;
        Instant readAt;
    };
    NewerConfig newer_;
    /** When this router last lagged. */
    std::optional<Instant> lastLagAt_;
    /** When the last message with a peer's configuration version arrived. */
    std::optional<Instant> peersHeardAt_;
    std::string configText_;
    std::map<BackendId, fleet::BackendServer> servers_;
    /** When the stream of backend servers was last read. */
    Instant serversReadAt_ {};
    /** For each server a moment at which its present instance ran. */
    std::map<BackendId, Instant> aliveAt_;
    /** The entry with the highest number that was read of a server. */
    struct LastEntry {
        std::uint64_t startedAt = 0;
        std::uint64_t sequence = 0;
        Instant readAt {};
    };
    std::map<BackendId, LastEntry> lastEntries_;
    /** Servers whose entries are missing, and since when. */
    std::map<BackendId, Instant> missing_;
    /** Services that have backend servers in the backend table. */
    std::set<ServiceName> published_;
    bool serversKnown_ = false;
    Instant nextReadAsk_ {};
    /** When the configuration may be sent to a peer again. */
    Instant nextConfigText_ {};
    /** Peers that have asked for the configuration and have not been sent it, in the order of their asking. */
    std::deque<Incarnation> askers_;
    /** When each peer was sent the configuration that is in force here. */
    std::map<Incarnation, Instant> sentTo_;
    Duration serverReadPause_ = minServerReadPause;
    Duration recordPeriod_ = minRecordPeriod;
};

} // namespace swiftlift::node
