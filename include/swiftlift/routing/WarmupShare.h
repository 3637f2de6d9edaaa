#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::routing {

/** @brief One router's part of the requests that a cold backend server bears from the whole fleet. */
struct WarmupShare {
    /** Requests that this router may send within any `window`; 0: none. */
    std::uint32_t requests = 0;
    Duration window = std::chrono::seconds(1);

    [[nodiscard]] bool operator==(const WarmupShare&) const = default;
};

/**
 * @brief Divides what a cold backend server bears among a few routers, without a message for each request.
 *
 * Load pattern: a server that has just started is empty and draws requests from all routers at once; with one request
 * from each of some dozens it crashes. An equal share for each router would be a fraction of a request, so rendezvous
 * hashing (Thaler and Ravishankar 1998) of the server and the registered routers names up to `maxOwners` routers, each
 * with a whole number of requests. The list of registered routers changes seldom, and not when routers lose sight of
 * each other; while two versions of it are in use, at most two sets of owners send.
 *
 * @param perSecond Requests per second that the server bears from the whole fleet while it is cold; more than 0.
 * @param server The backend server.
 * @param self This router.
 * @param routers All registered routers. A router that is not among them owns nothing, as the others don't know of it.
 * @return This router's share.
 */
[[nodiscard]] WarmupShare warmupShare(
    double perSecond, const BackendId& server, const PeerAddress& self, const std::vector<PeerAddress>& routers);

} // namespace swiftlift::routing
