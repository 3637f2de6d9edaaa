#pragma once

#include <cstdint>

#include "swiftlift/base/Ids.h"

namespace swiftlift::node {

/** A peer that relays a connection to a backend server. */
struct RelayRoute {
    PeerAddress peer;
    RelayAddress address;

    [[nodiscard]] bool operator==(const RelayRoute&) const = default;
};

/** Why the connection of an attempt to its backend server was of no use. */
enum class ConnectFailure : std::uint8_t {
    /** It was of use, or was not tried. */
    None,
    /** The backend server could not be reached, by this router or by its relay. */
    Server,
    /** The relay could not be reached, or turned the connection away. */
    Relay,
    /** The relay connects to no such server now, but may connect to others. */
    Declined,
    /** This router's own connection was made, and ended from the other side before anything arrived on it: the request
     * may have run. */
    Closed,
};

} // namespace swiftlift::node
