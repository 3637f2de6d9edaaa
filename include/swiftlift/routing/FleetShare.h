#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::routing {

/** @brief Requests that a backend server accepts from the whole fleet. */
struct FleetRate {
    /** Requests per second; more than 0. */
    double perSecond = 0;
    /** Time in which the requests are counted; it is prolonged where less than one request comes in it. */
    Duration window = std::chrono::seconds(1);
};

/** @brief One router's part of the requests that a backend server accepts from the whole fleet. */
struct FleetShare {
    /** Requests that this router may send within any `window`; 0: none. */
    std::uint32_t requests = 0;
    Duration window = std::chrono::seconds(1);

    [[nodiscard]] bool operator==(const FleetShare&) const = default;
};

/** @brief What a router knows of the number of routers in its fleet. */
struct FleetSize {
    /** This router has read that it is registered, so the others count it. */
    bool registered = false;
    /** Number of routers, rather too high than too low. */
    std::uint32_t routers = 1;
};

/**
 * @brief Divides an amount that all routers together may use into equal parts.
 * @param amount Amount of the whole fleet.
 * @param size Size of the fleet, as far as this router knows it.
 * @return This router's part; 0 if it isn't registered, as the others don't leave it a part then.
 */
[[nodiscard]] double equalShare(double amount, const FleetSize& size) noexcept;

/**
 * @brief Divides what a backend server accepts among some routers, without a message for each request.
 *
 * Load pattern: a server that has just started, or one in need, draws requests from all routers at once; with one
 * request from each of some dozens it crashes. An equal share for each router would be a fraction of a request, so
 * rendezvous hashing (Thaler and Ravishankar 1998) of the server and the registered routers names as many owners as
 * there are whole pairs of requests in the window. The list of registered routers changes seldom, and not when routers
 * lose sight of each other; while two versions of it are in use, at most two sets of owners send.
 *
 * @param rate Requests that the server accepts.
 * @param server The backend server.
 * @param self This router.
 * @param routers All registered routers. A router that is not among them owns nothing, as the others don't know of it.
 * @return This router's share.
 */
[[nodiscard]] FleetShare fleetShare(
    const FleetRate& rate, const BackendId& server, const PeerAddress& self, const std::vector<PeerAddress>& routers);

/**
 * @brief Divides the places of a backend server among all routers, in whole places.
 * @param places Requests that the server runs at once.
 * @param server The backend server.
 * @param self This router.
 * @param routers All registered routers. A router that is not among them gets nothing, as the others don't know of it.
 * @return This router's places; the sum over all routers is at most `places`.
 */
[[nodiscard]] std::uint32_t roomShare(
    std::uint32_t places, const BackendId& server, const PeerAddress& self, const std::vector<PeerAddress>& routers);

} // namespace swiftlift::routing
