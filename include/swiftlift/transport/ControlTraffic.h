#pragma once

#include <atomic>
#include <cstdint>

#include "swiftlift/transport/LogCallCounter.h"

namespace swiftlift::transport {

/** Bytes of one kind of control traffic, counted by the threads that send and receive them. */
struct TrafficCounter {
    std::atomic<std::uint64_t> sent = 0;
    std::atomic<std::uint64_t> received = 0;
};

/** Calls to the log, and their bytes with heads. */
struct LogTraffic : TrafficCounter {
    LogCallCounter calls;
};

/** Bytes of the router's control traffic, by counterpart. Callers' requests and their answers are not included. */
struct ControlTraffic {
    TrafficCounter peers;
    /** The part of `peers` that tells loads of backend servers. */
    TrafficCounter loads;
    LogTraffic log;
    TrafficCounter platform;
    TrafficCounter backends;
};

} // namespace swiftlift::transport
