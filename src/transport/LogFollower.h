#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "swiftlift/transport/LogDialect.h"
#include "swiftlift/transport/TaggedEvent.h"
#include "transport/LogEndpoints.h"

namespace swiftlift::transport::internal {

/** Reads one stream of the log by long polls, in a thread of its own, from an offset on. */
class LogFollower {
public:
    /** What is given by reference outlives the follower. */
    LogFollower(const LogClientSettings& settings, const LogDialect& dialect, DecisionInbox& decisions,
        TrafficCounter& traffic, Incarnation incarnation, node::Follow follow);
    /** Waits for the thread; call cancel() before, to have that done soon. */
    ~LogFollower();
    LogFollower(const LogFollower&) = delete;
    LogFollower& operator=(const LogFollower&) = delete;

    /** Makes the thread end soon. */
    void cancel();

    /** Ends the pause before the next read; during a read, the pause after it. */
    void hasten();

    /** @return Whether the thread has ended. */
    [[nodiscard]] bool ended() const noexcept { return ended_.load(); }

private:
    void run();
    /** @return Whether the log answered the read. */
    [[nodiscard]] bool readOnce();
    /** @return Whether the log answered. */
    [[nodiscard]] bool readAllKeys();
    void take(LogRead&& read);
    void takeGone(const LogGone& gone);
    void askForFewer();
    void tellUnreachable(std::string detail);
    void push(node::Event&& event);
    void pause(std::chrono::milliseconds limit);
    /** As pause(), unless somebody waits for what the next read brings. */
    void pauseUnlessHastened(std::chrono::milliseconds limit);

    const LogClientSettings& settings_;
    const LogDialect& dialect_;
    DecisionInbox& decisions_;
    Incarnation incarnation_;
    node::Follow follow_;
    std::uint64_t next_;
    /** Of a keyed stream: all keys have to be read before what changes them. */
    bool allKeysDue_;
    /** Asked for at once; fewer after reads that failed. */
    std::uint32_t recordsPerRead_;
    /** The log goes on beyond what the last read brought, so the next one need not wait. */
    bool moreWaits_ = false;
    LogEndpoints log_;
    std::atomic<bool> cancelled_ = false;
    std::mutex pauseMutex_;
    std::condition_variable pauseEnds_;
    bool hastened_ = false;
    std::atomic<bool> ended_ = false;
    std::thread thread_;
};

} // namespace swiftlift::transport::internal
