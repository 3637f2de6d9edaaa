#pragma once

#include <atomic>
#include <chrono>
#include <thread>

#include "swiftlift/transport/TaggedEvent.h"
#include "transport/LogEndpoints.h"

namespace swiftlift::transport::internal {

/** Reads one stream of the log by long polls, in a thread of its own, from an offset on. */
class LogFollower {
public:
    LogFollower(const LogClientSettings& settings, DecisionInbox& decisions, TrafficCounter& traffic,
        Incarnation incarnation, node::Follow follow);
    /** Waits for the thread; call cancel() before, to have that done soon. */
    ~LogFollower();
    LogFollower(const LogFollower&) = delete;
    LogFollower& operator=(const LogFollower&) = delete;

    /** Makes the thread end soon. */
    void cancel();

    /** @return Whether the thread has ended. */
    [[nodiscard]] bool ended() const noexcept { return ended_.load(); }

private:
    void run();
    /** @return Whether the log answered the read. */
    [[nodiscard]] bool readOnce();
    [[nodiscard]] bool take(const HttpResponse& answer);
    [[nodiscard]] bool takeExpired(const HttpResponse& answer);
    void tellUnreachable(std::string detail);
    void push(node::Event&& event);
    void pause(std::chrono::milliseconds limit);

    const LogClientSettings& settings_;
    DecisionInbox& decisions_;
    Incarnation incarnation_;
    StreamName stream_;
    std::uint64_t next_;
    LogEndpoints log_;
    std::atomic<bool> cancelled_ = false;
    std::atomic<bool> ended_ = false;
    std::thread thread_;
};

} // namespace swiftlift::transport::internal
