#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "node/Context.h"
#include "node/Peers.h"
#include "swiftlift/routing/BackendTable.h"
#include "swiftlift/routing/CollectorChoice.h"
#include "swiftlift/routing/FleetLoad.h"
#include "swiftlift/routing/LoadCollector.h"

namespace swiftlift::node {

/**
 * @brief Tells the other routers this router's requests at backend servers, and learns theirs.
 *
 * Each router reports to the collector of its failure domain. A router that receives reports acts as collector: it
 * sends their sum to the collectors of the other domains, and the sum of all domains to the routers that reported to
 * it. See "Load of the fleet" in docs/ROUTING.md.
 */
class LoadExchange {
public:
    LoadExchange(Context& context, Peers& peers, routing::BackendTable& backends);
    ~LoadExchange() { backends_.setFleetLoad(nullptr); }
    LoadExchange(const LoadExchange&) = delete;
    LoadExchange& operator=(const LoadExchange&) = delete;

    /** @param stopping This router takes no new requests, so that it can't be the collector. */
    void tick(bool stopping);
    void on(const PeerReceived& event, const LoadReport& report);
    void on(const PeerReceived& event, const LoadDigest& digest);

private:
    /** @brief Identifies a fleet digest. */
    struct FleetDigestId {
        Incarnation collector;
        std::uint64_t sequence = 0;
    };

    /** @return True if the setting is on and the fleet is large enough. */
    [[nodiscard]] bool isWanted() const;
    /** @return Number of routers that are alive or listed, this one included. */
    [[nodiscard]] std::size_t routerCount() const;
    void switchOff();
    void report(bool stopping);
    [[nodiscard]] std::vector<routing::CollectorCandidate> candidates(bool stopping) const;
    /** @brief Sends digests while reports are in force, and one more without any, which replaces the last sum. */
    void sendDigests();
    void sendDomainDigest();
    void sendFleetDigest(const std::vector<routing::LoadSender>& reporters);
    /** @return Routers of the domains from whose collectors no digest is in force, to be sent the domain digest. */
    [[nodiscard]] std::vector<PeerAddress> drawReceivers(const std::vector<routing::LoadSender>& known);
    void onDomainDigest(const PeerReceived& event, const LoadDigest& digest);
    void onFleetDigest(Incarnation from, const LoadDigest& digest);
    /** @brief Forwards a digest that arrived here because the sender doesn't know this domain's collector. */
    void forwardToCollector(const routing::LoadSender& from, LoadDigest digest);
    void applyFleetDigest(Incarnation from, const std::vector<routing::ServerLoadEntry>& loads);
    [[nodiscard]] bool isOwnCollector() const { return choice_.collector() == context_.self(); }
    /** @return Time between two digests; longer in a domain with many routers, to limit the collector's traffic. */
    [[nodiscard]] Duration digestPeriod() const;
    /** @brief Logs that the view was gained or lost, or that it comes from another collector now. */
    void noteView(std::optional<Incarnation> collector, const char* reason);
    void updateMetrics();
    void countSent(const char* kind, std::size_t messages);

    Context& context_;
    Peers& peers_;
    routing::BackendTable& backends_;
    LoadExchangeSettings settings_;
    routing::FleetLoad view_;
    routing::LoadCollector collected_;
    routing::CollectorChoice choice_;
    std::mt19937_64 random_;
    /** Collector whose digest is in force; nullopt: none is. */
    std::optional<Incarnation> viewFrom_;
    std::optional<FleetDigestId> latestFleetDigest_;
    std::uint64_t lastReport_ = 0;
    std::uint64_t lastDigest_ = 0;
    Instant nextReport_ {};
    Instant nextDigest_ {};
    Instant nextMetrics_ {};
    /** Reports were in force at the last digest. */
    bool collecting_ = false;
    bool on_ = false;
};

} // namespace swiftlift::node
