#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "node/Context.h"
#include "node/LogHealth.h"
#include "node/Peers.h"
#include "swiftlift/fleet/BackendServer.h"
#include "swiftlift/fleet/FleetCodec.h"
#include "swiftlift/fleet/RouteTable.h"
#include "swiftlift/routing/BackendTable.h"

namespace swiftlift::node {

using RouteTablePtr = std::shared_ptr<const fleet::RouteTable>;

/** Told of what changes outside the fleet. */
class FleetListener {
public:
    FleetListener() = default;
    virtual ~FleetListener() = default;
    FleetListener(const FleetListener&) = delete;
    FleetListener& operator=(const FleetListener&) = delete;

    /** A configuration has come into force. */
    virtual void onConfig(const fleet::FleetConfig& config) = 0;
    /**
     * A backend server has started again under its id.
     * @param aliveAt Its former life still ran then: what was sent to it before is lost.
     */
    virtual void onServerRestarted(const BackendId& server, Instant aliveAt) = 0;
    /** This life of a backend server has said that it runs. @param at When it still ran, or earlier. */
    virtual void onServerSeen(const fleet::BackendServer& server, Instant at) = 0;
};

/**
 * @brief What the fleet is told from outside, by keyed streams of the log: its configuration, its backend servers, its
 * own VMs.
 *
 * A record that can't be read changes nothing: it is logged with its findings, and what was read before stays in force.
 */
class FleetDirectory {
public:
    FleetDirectory(Context& context, Peers& peers, const LogHealth& health, routing::BackendTable& backends,
        FleetListener& listener);

    void start();
    void onRecords(const KeyedRecords& records);
    /** A peer that reaches the log has read this configuration. */
    void onPeerRecords(const Records& records);
    void onReadAsk(Incarnation from, Offset offset);
    void tick(bool stopping);

    /** @return The configuration in force; null before any has been read. Stays valid for requests that hold it. */
    [[nodiscard]] const RouteTablePtr& routes() const noexcept { return routes_; }
    /** @return True when the configuration in force was the newest a moment ago, by the log's own word. */
    [[nodiscard]] bool confirmed() const;
    /** @return True when the backend servers have been read once. */
    [[nodiscard]] bool serversKnown() const noexcept { return serversKnown_; }
    /** @return The backend server; null when it is not registered any more. */
    [[nodiscard]] const fleet::BackendServer* server(const BackendId& id) const;
    /** @return VMs of the fleet that are registered, this one included. */
    [[nodiscard]] std::size_t vms() const noexcept { return vms_.size(); }

    [[nodiscard]] static const StreamName& configStream();
    [[nodiscard]] static const StreamName& serverStream();
    [[nodiscard]] static const StreamName& vmStream();

private:
    /** An accepted configuration has to be in force within 2 s; a waiting read comes back within one. */
    static constexpr Duration confirmationLifetime = std::chrono::milliseconds(1500);
    /** Backend servers tell the log that they live every second or so, and each record answers a waiting read. A third
     * of the 2 s in which a leaving one may still get new work. */
    static constexpr Duration serverReadPause = std::chrono::milliseconds(600);
    /** VMs register once, and who lives is known from heartbeats: the list only says where to look for new ones. */
    static constexpr Duration vmReadPause = std::chrono::seconds(3);
    static constexpr Duration registerPeriod = std::chrono::seconds(10);
    static constexpr Duration readAskPeriod = std::chrono::milliseconds(300);
    /**
     * What goes wrong: an outage of the log lets the entries of sound servers lapse, and a service is without any until
     * they have registered again, about 2 s after its return. One notices by "the service has no backend server". But
     * some servers announce that they leave by nothing else than the end of their entry, and may get nothing new 2 s
     * later. So a few missing entries count as gone at once; where most of a service's are missing, the outage is the
     * likelier cause, and they are kept for this long.
     */
    static constexpr Duration lapseGrace = std::chrono::milliseconds(1500);

    /** A read's answer may have been made, and its next records written, so long before it came to be handled here. */
    static constexpr Duration readLag = std::chrono::seconds(1);

    /** Lines on unreadable records, in the life of the process: more tell nothing that the counter doesn't. */
    static constexpr std::size_t unreadableLines = 64;

    void takeConfig(Offset offset, const std::string& text, const char* source);
    void takeServers(const KeyedRecords& records);
    /** @param readBefore When the stream was read before: the record was written later. */
    void takeServer(const KeyedRecord& record, Instant readBefore);
    void noteSeen(const KeyedRecords& records, Instant readBefore);
    /** @return Whether any was dropped. */
    bool dropLapsed();
    [[nodiscard]] bool mostLapsed(const ServiceName& service) const;
    void takeVms(const KeyedRecords& records);
    void publishBackends();
    void registerSelf(bool stopping);
    void askPeer();
    void logFindings(const char* what, const std::string& key, const Findings& findings);
    void logUnreadable(const char* what, const std::string& key, const std::string& reason);

    Context& context_;
    Peers& peers_;
    const LogHealth& health_;
    routing::BackendTable& backends_;
    FleetListener& listener_;
    RouteTablePtr routes_;
    Offset configOffset_;
    /** When the configuration's stream was last read to its end. */
    std::optional<Instant> confirmedAt_;
    std::string configText_;
    std::map<BackendId, fleet::BackendServer> servers_;
    /** When the stream of servers was last read, and a moment at which each server's present life surely ran. */
    Instant serversReadAt_ {};
    std::map<BackendId, Instant> aliveAt_;
    /** Entries that are gone, but maybe only lapsed, and since when. */
    std::map<BackendId, Instant> lapsed_;
    std::set<ServiceName> published_;
    std::map<std::string, ListedVm> vms_;
    bool serversKnown_ = false;
    /** Key and reason of what was found unreadable, each logged once. */
    std::set<std::pair<std::string, std::string>> unreadable_;
    Instant nextRegister_ {};
    Instant nextReadAsk_ {};
    bool unregistered_ = false;
};

} // namespace swiftlift::node
