#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
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

/** Told of each configuration that comes into force. */
using ConfigListener = std::function<void(const fleet::FleetConfig&)>;

/**
 * @brief What the fleet is told from outside, by keyed streams of the log: its configuration, its backend servers, its
 * own VMs.
 *
 * A record that can't be read changes nothing: it is logged with its findings, and what was read before stays in force.
 */
class FleetBook {
public:
    FleetBook(
        Context& context, Peers& peers, const LogHealth& health, routing::BackendTable& backends, ConfigListener listener);

    void start();
    void onRecords(const KeyedRecords& records);
    /** A peer that reaches the log has read this configuration. */
    void onPeerRecords(const Records& records);
    void onReadAsk(Incarnation from, Offset offset);
    void tick(bool stopping);

    /** @return The configuration in force; null before any has been read. Stays valid for requests that hold it. */
    [[nodiscard]] const RouteTablePtr& routes() const noexcept { return routes_; }
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
    /** Backend servers tell the log that they live every second or so, and each record answers a waiting read. */
    static constexpr Duration serverReadPause = std::chrono::milliseconds(250);
    static constexpr Duration vmReadPause = std::chrono::seconds(1);
    static constexpr Duration registerPeriod = std::chrono::seconds(10);
    static constexpr Duration readAskPeriod = std::chrono::milliseconds(300);
    /** Entries that lapsed while the log was away are back about 2 s after its return, if their servers live. */
    static constexpr Duration lapseGrace = std::chrono::milliseconds(2500);
    /** The log counts as having been away for so long after it was last out of reach. */
    static constexpr Duration awayMemory = std::chrono::milliseconds(1500);

    void takeConfig(Offset offset, const std::string& text, const char* source);
    void takeServers(const KeyedRecords& records);
    void takeServer(const KeyedRecord& record);
    void dropServer(const BackendId& id);
    void takeVms(const KeyedRecords& records);
    void publishBackends();
    void registerSelf(bool stopping);
    void askPeer();
    void logFindings(const char* what, const std::string& key, const Findings& findings);

    Context& context_;
    Peers& peers_;
    const LogHealth& health_;
    routing::BackendTable& backends_;
    ConfigListener listener_;
    RouteTablePtr routes_;
    Offset configOffset_;
    std::string configText_;
    std::map<BackendId, fleet::BackendServer> servers_;
    /** Entries that are gone, but maybe only lapsed, and when they count as gone. */
    std::map<BackendId, Instant> lapsed_;
    std::set<ServiceName> published_;
    std::map<std::string, ListedVm> vms_;
    bool serversKnown_ = false;
    std::optional<Instant> lastAway_;
    Instant nextRegister_ {};
    Instant nextReadAsk_ {};
    bool unregistered_ = false;
};

} // namespace swiftlift::node
