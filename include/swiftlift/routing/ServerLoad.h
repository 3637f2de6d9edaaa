#pragma once

#include <cstdint>
#include <optional>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/StrongType.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::routing {

/** Names an instance of a backend server between routers: hash of its id and start time. Two servers with one key add
 * up their loads, which makes both look busier than they are. */
using ServerKey = StrongType<struct ServerKeyTag, std::uint32_t>;

/** @return The key of the instance of a backend server that started at `instance`; 0 if instances are not told apart.
 */
[[nodiscard]] ServerKey serverKey(const BackendId& backend, std::uint64_t instance);

/** @brief Requests of one or several routers at a backend server. */
struct ServerLoad {
    /** Requests in progress, waiting or running. */
    std::uint32_t inProgress = 0;
    /** Prompt tokens of the requests without a first event: they have not been prefilled yet. */
    Tokens unread = {};
    /** Maximum memory of the requests, in tokens: prompts and largest possible answers. */
    Tokens memory = {};

    ServerLoad& operator+=(const ServerLoad& other) noexcept
    {
        inProgress += other.inProgress;
        unread += other.unread;
        memory += other.memory;
        return *this;
    }

    [[nodiscard]] bool operator==(const ServerLoad&) const = default;
};

/** @brief Load of one backend server in a message between routers. */
struct ServerLoadEntry {
    ServerKey server;
    ServerLoad load = {};
    /** Mean time between two events of a stream there; nullopt: not observed. */
    std::optional<Duration> pace = std::nullopt;

    [[nodiscard]] bool operator==(const ServerLoadEntry&) const = default;
};

/** @brief What a router knows of the other routers' requests at a backend server. */
struct PeerLoad {
    ServerLoad load = {};
    /** Time since the figures were received. */
    Duration age {};
};

} // namespace swiftlift::routing
