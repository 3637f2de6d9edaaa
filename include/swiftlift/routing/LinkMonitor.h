#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/routing/ConnectResult.h"
#include "swiftlift/routing/DomainReachability.h"

namespace swiftlift::routing {

/** @brief Backend servers by failure domain. */
using ServersByDomain = std::map<FailureDomain, std::vector<BackendId>>;

/**
 * @brief Detects that this router can't connect to any backend server, or to those of a failure domain, and decides
 * which servers to probe with a connection to see whether that is over.
 *
 * Only new connections show whether a link works: connections that were made before a partition may live on in it. A
 * connection counts as made once something has arrived on it, or it has stayed open for a while: on the way to a server
 * that can't be reached, something else may accept and close it.
 */
class LinkMonitor {
public:
    /** @brief Records that a new connection to a backend server of the domain works. */
    void onConnected(const FailureDomain& domain, Instant now);
    /** @brief Records that a backend server of the domain answered, possibly on an older connection. */
    void onAnswered(const FailureDomain& domain);
    /** @brief Records that a connection to the backend server failed. */
    void onUnreachable(const FailureDomain& domain, const BackendId& backend, Instant now);
    /** @brief Records that a new connection to the backend server was closed before anything arrived on it, as a server
     * without room does too: an answer of any server shows that the links are not the cause. */
    void onClosed(const FailureDomain& domain, const BackendId& backend, Instant now);
    /** @brief Records that no backend server has sent anything for a while although requests run there. */
    void onSilence() noexcept { suspected_ = true; }
    /** @brief Records the end of a probe. */
    void onProbeEnded(const FailureDomain& domain, const BackendId& backend, ConnectResult result, Instant now);

    /** @return True if this router can't connect to backend servers of any domain. */
    [[nodiscard]] bool linksLost(Instant now) const;
    /** @return True if a connection has failed, and none was made lately: the links may be lost. */
    [[nodiscard]] bool linksDoubtful(Instant now) const;
    /** @return True if this router can't connect to the domain's backend servers. */
    [[nodiscard]] bool seemsUnreachable(const FailureDomain& domain, Instant now) const;
    /** @return The domains to be avoided as long as others have a usable backend server; none if no domain can be
     * reached, as then no domain is better than the others. */
    [[nodiscard]] std::set<FailureDomain> unreachableDomains(Instant now) const;
    /** @return Servers that failed to be reached since a server was connected to. */
    [[nodiscard]] std::size_t failedServers() const noexcept { return failed_.size(); }

    /** @return True if probes() may return any servers. */
    [[nodiscard]] bool needsProbes(Instant now) const;
    /**
     * @brief Chooses the servers to probe now.
     * @param servers All backend servers that may get requests.
     */
    [[nodiscard]] std::vector<BackendId> probes(const ServersByDomain& servers, Instant now);

private:
    /** One server that can't be reached may have crashed; with two in a row, and none connected to in between, the link
     * is the likelier cause. */
    static constexpr std::size_t minFailedServers = 2;
    /** How long the links count as lost after the last failed connection. Probes are sent much more often. */
    static constexpr Duration lostTime = std::chrono::seconds(2);
    /** How long a connection shows that the links work. */
    static constexpr Duration connectedTime = std::chrono::milliseconds(100);
    /** Time between two probes of one domain: it bounds how long a restored link goes unnoticed. */
    static constexpr Duration probePeriod = std::chrono::milliseconds(300);
    /** The same while links are only suspected: a probe that connects comes before the next server fails. */
    static constexpr Duration suspicionProbePeriod = std::chrono::milliseconds(100);

    /** @brief Probes of one domain. */
    struct DomainProbes {
        Instant next {};
        /** Position in the list of the domain's servers; each probe is for the next server. */
        std::size_t turn = 0;
        /** A connection to the domain was made or failed since this router started. */
        bool tested = false;
    };

    void onFailure(const FailureDomain& domain, const BackendId& backend, ConnectResult result, Instant now);
    [[nodiscard]] bool connectedLately(Instant now) const;
    [[nodiscard]] bool isProbeNeeded(const FailureDomain& domain, Instant now) const;

    DomainReachability domains_;
    /** Servers that could not be connected to since a connection was made last, and what became of the last try. */
    std::map<BackendId, ConnectResult> failed_;
    Instant lastFailure_ {};
    std::optional<Instant> lastConnected_;
    /** A connection has failed, or all servers are silent, and no connection was made since. */
    bool suspected_ = false;
    std::map<FailureDomain, DomainProbes> probes_;
    std::set<BackendId> probing_;
};

} // namespace swiftlift::routing
