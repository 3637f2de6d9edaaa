#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "swiftlift/base/Units.h"
#include "swiftlift/routing/ServerLoad.h"

namespace swiftlift::routing {

/**
 * @brief One router's view of the requests that all other routers have at backend servers.
 *
 * A digest sums up the reports of all routers, this one's included, so its own last report is subtracted. The view is
 * about two report periods old and expires: after that a router uses its own requests only, as if it were alone.
 */
class FleetLoad {
public:
    /** @param lifetime Time after which a digest is ignored. */
    explicit FleetLoad(Duration lifetime = std::chrono::seconds(1));

    /** @brief Records the load that this router has just reported to its peers. */
    void onReported(const std::vector<ServerLoadEntry>& own);
    /** @brief Replaces the view by a digest of the whole fleet. */
    void onDigest(const std::vector<ServerLoadEntry>& digest, Instant now);

    /** @return The other routers' load there, zero if the digest has no such server; nullopt: no digest is in force. */
    [[nodiscard]] std::optional<PeerLoad> of(ServerKey server, Instant now) const;
    /** @return Mean time between two events of a stream there, as observed lately by any router; nullopt: unknown. */
    [[nodiscard]] std::optional<Duration> paceOf(ServerKey server, Instant now) const;
    /** @return Time since the digest in force arrived; nullopt: none is in force. */
    [[nodiscard]] std::optional<Duration> age(Instant now) const;
    /** @return Number of backend servers in the last digest. */
    [[nodiscard]] std::size_t size() const noexcept { return loads_.size(); }

private:
    /** @brief Pace of a backend server and when it was observed last. */
    struct Pace {
        Duration value {};
        Instant at {};
    };

    void forgetOldPaces(Instant now);

    Duration lifetime_;
    std::optional<Instant> receivedAt_;
    std::unordered_map<ServerKey, ServerLoad> loads_;
    std::unordered_map<ServerKey, ServerLoad> reported_;
    std::unordered_map<ServerKey, Pace> paces_;
};

} // namespace swiftlift::routing
