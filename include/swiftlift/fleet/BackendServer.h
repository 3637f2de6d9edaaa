#pragma once

#include <cstdint>

#include "swiftlift/base/Ids.h"

namespace swiftlift::fleet {

enum class ServerState : std::uint8_t {
    Ready,
    /** It ends what it has; it is given nothing new. */
    Leaving,
};

/** A backend server as it has registered itself. */
struct BackendServer {
    BackendId id;
    /**
     * Milliseconds of Unix time at which its present life began: a server may start again under its id, and then holds
     * and knows nothing of before. 0: it does not say.
     */
    std::uint64_t startedAt = 0;
    BackendAddress address;
    ServiceName service;
    FailureDomain domain;
    /** Requests it runs at once. */
    std::uint32_t slots = 1;
    ServerState state = ServerState::Ready;

    [[nodiscard]] bool operator==(const BackendServer&) const = default;
};

} // namespace swiftlift::fleet
