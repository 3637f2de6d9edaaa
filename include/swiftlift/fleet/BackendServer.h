#pragma once

#include <cstdint>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::fleet {

/** @brief State in which a backend server registers itself. */
enum class ServerState : std::uint8_t {
    /** Accepts new requests. */
    Ready,
    /** Completes its requests in flight and gets no new ones. */
    Leaving,
};

/** @brief A backend server as registered by itself. */
struct BackendServer {
    BackendId id;
    /**
     * Start of the server's present instance, in milliseconds of Unix time; 0: not reported. A server may restart under
     * the same id; the new instance has none of the previous instance's requests and caches.
     */
    std::uint64_t startedAt = 0;
    BackendAddress address;
    ServiceName service;
    FailureDomain domain;
    /** Number of requests that the server runs concurrently. */
    std::uint32_t slots = 1;
    ServerState state = ServerState::Ready;
    /** How much longer the server is cold, when it wrote its entry. */
    Duration warmupLeft {};
    /** Version of its software. What two versions write doesn't fit together in one stream. */
    SoftwareVersion version {};
    /** Number of the entry, which rises with each one that the instance writes; 0: not stated. */
    std::uint64_t sequence = 0;

    [[nodiscard]] bool operator==(const BackendServer&) const = default;
};

} // namespace swiftlift::fleet
