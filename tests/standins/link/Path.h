#pragma once

#include <cstdint>

#include "common/Signal.h"
#include "common/Types.h"

namespace swiftlift::standins {

/** One direction of a link. */
struct Path {
    bool cut = false;
    std::uint64_t bytes = 0;
};

/** What all connections of a link have in common. */
struct LinkState {
    /** From the side that connects to the side that is connected to. */
    Path forward;
    Path backward;
    Milliseconds delay { 0 };
    /** Notified when a path is cut or healed. */
    Signal changed;
};

} // namespace swiftlift::standins
