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
    /** One life of it: a server that starts again has another id, though maybe the same address. */
    BackendId id;
    BackendAddress address;
    ServiceName service;
    FailureDomain domain;
    /** Requests it runs at once. */
    std::uint32_t slots = 1;
    ServerState state = ServerState::Ready;

    [[nodiscard]] bool operator==(const BackendServer&) const = default;
};

} // namespace swiftlift::fleet
