#pragma once

#include <atomic>
#include <cstdint>

namespace swiftlift::transport {

/** Bytes of one kind of control traffic, counted by the thread that moves them. */
struct TrafficCounter {
    std::atomic<std::uint64_t> sent = 0;
    std::atomic<std::uint64_t> received = 0;
};

/** What the router spends on control, apart from callers' requests and their answers. */
struct ControlTraffic {
    TrafficCounter peers;
    TrafficCounter log;
    TrafficCounter platform;
    TrafficCounter backends;
};

} // namespace swiftlift::transport
