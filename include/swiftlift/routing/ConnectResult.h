#pragma once

#include <cstdint>

namespace swiftlift::routing {

/** @brief What became of a new connection to a backend server. */
enum class ConnectResult : std::uint8_t {
    Connected,
    /** No connection was made. */
    Unreachable,
    /** A connection was made, and ended from the other side before anything arrived on it. */
    Closed,
};

} // namespace swiftlift::routing
