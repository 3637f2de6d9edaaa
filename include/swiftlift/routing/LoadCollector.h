#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/routing/ServerLoad.h"

namespace swiftlift::routing {

/** Maximum number of backend servers in a digest, which bounds its size to some 6 KB. */
inline constexpr std::size_t maxDigestServers = 512;

/** @brief Keeps the `maxDigestServers` backend servers with the most requests, in order of their keys. */
void limitServers(std::vector<ServerLoadEntry>& loads);

/** @brief A router that sends reports or digests. */
struct LoadSender {
    Incarnation router;
    PeerAddress address;
    FailureDomain domain;
};

/**
 * @brief What a collector sums up: reports of the routers that chose it, and digests of other collectors.
 *
 * Each router counts by its latest report and each other collector by its latest digest, for at most `lifetime`. Late,
 * repeated and reordered messages are recognized by their sequence numbers.
 */
class LoadCollector {
public:
    /** @param lifetime Time after which a report or digest no longer counts. */
    explicit LoadCollector(Duration lifetime = std::chrono::seconds(1));

    /**
     * @brief Replaces the report of a router.
     * @param sequence Grows with each report of the router.
     * @return False if the report is a duplicate or older than the latest one, and is ignored.
     */
    bool onReport(const LoadSender& from, std::uint64_t sequence, std::vector<ServerLoadEntry> loads, Instant now);
    /**
     * @brief Replaces the domain digest of another collector.
     * @param sequence Grows with each digest of the collector.
     * @return False if the digest is a duplicate or older than the latest one, and is ignored.
     */
    bool onDigest(const LoadSender& from, std::uint64_t sequence, std::vector<ServerLoadEntry> loads, Instant now);

    /** @brief Removes all reports and digests. */
    void clear();
    /** @brief Removes the loads of expired messages, and later also the sequence numbers of their senders. */
    void forgetOld(Instant now);

    /** @return Sum of the reports in force, limited to `maxDigestServers`. */
    [[nodiscard]] std::vector<ServerLoadEntry> domainDigest(Instant now) const;
    /** @return Sum of the reports and the other collectors' digests in force, limited to `maxDigestServers`. */
    [[nodiscard]] std::vector<ServerLoadEntry> fleetDigest(Instant now) const;
    /** @return The routers whose reports are in force. */
    [[nodiscard]] std::vector<LoadSender> reporters(Instant now) const { return senders(reports_, now); }
    /** @return The collectors whose digests are in force. */
    [[nodiscard]] std::vector<LoadSender> remoteCollectors(Instant now) const { return senders(digests_, now); }

private:
    /** @brief Latest message of a sender. */
    struct Contribution {
        LoadSender from;
        std::uint64_t sequence = 0;
        Instant receivedAt {};
        std::vector<ServerLoadEntry> loads;
    };
    using Contributions = std::map<Incarnation, Contribution>;
    class Sum;

    /** @return False if the sender has a message with this sequence number or a later one. */
    static bool replace(Contributions& all, Contribution latest);
    void forgetOld(Contributions& all, Instant now) const;
    void add(const Contributions& all, Instant now, Sum& sum) const;
    [[nodiscard]] std::vector<LoadSender> senders(const Contributions& all, Instant now) const;
    [[nodiscard]] bool isInForce(const Contribution& contribution, Instant now) const;

    Duration lifetime_;
    Contributions reports_;
    Contributions digests_;
};

} // namespace swiftlift::routing
