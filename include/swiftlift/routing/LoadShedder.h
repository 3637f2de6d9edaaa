#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "swiftlift/base/Units.h"

namespace swiftlift::routing {

/** How far behind a router is at the moment at which a request was read. */
struct ObservedLoad {
    /** How late its own timers come. */
    Duration lag {};
    /** Requests that wait to be decided on. */
    std::size_t waiting = 0;
    /** The caller had left before its request was read. */
    bool callerLeft = false;
};

enum class LoadShedVerdict : std::uint8_t {
    Accept,
    /** Refuse at once: it would make all others later. */
    Refuse,
    /** Nobody waits for it: no work at all. */
    Drop,
};

/** Bounds of what a router takes in. */
struct LoadShedderLimits {
    /** Zero: any. */
    Duration maxLag {};
    /** Zero: any. */
    std::size_t maxWaiting = 0;
    /** What the VM's link carries each way, in bytes a second. Zero: not known. */
    std::uint64_t linkBytesPerSecond = 0;
};

/** Payload that went over the VM's link, since the start. */
struct LinkTraffic {
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
};

/**
 * @brief Whether a request that was just read is taken in, and whether more callers should be sent here.
 *
 * The load it answers: most of an account's callers come to one VM, several times what it can pass on. What goes wrong:
 * their requests wait in its sockets until the callers have left; it reads them nevertheless, sends them on for nobody,
 * and has no time for those that still wait. It goes on like that long after the load has fallen to what it could
 * carry. One notices by `caller_gone` a few ms after a request was read, hundreds a second, and no `answered`. So what
 * nobody waits for is dropped, what comes too late is refused, and a router that turns away a quarter of what comes
 * says that it is not ready: the platform's entry then sends new callers to other VMs.
 *
 * A link that is full looks different: the router is in time, but what it sends and gets waits in the link's queue.
 * Connections to backend servers then take longer than they may, the log can't be read, and heartbeats come late. One
 * notices by `connect: timeout` for servers of all domains at one VM. So a router that knows its link's bandwidth says
 * that it is not ready before the link is full, and refuses what comes once it is.
 */
class LoadShedder {
public:
    explicit LoadShedder(LoadShedderLimits limits);

    /** To be told a few times a second. */
    void onTraffic(const LinkTraffic& traffic, Instant now);

    [[nodiscard]] LoadShedVerdict onRequest(const ObservedLoad& load, Instant now);

    /** @return Whether more callers should be sent here. */
    [[nodiscard]] bool ready(Instant now);

private:
    /** Requests that are looked back on: as long as the platform's entry takes between two questions. */
    static constexpr Duration window = std::chrono::seconds(1);
    /** Fewer say nothing. */
    static constexpr std::size_t leastSeen = 20;
    /** One in so many turned away is too many. */
    static constexpr std::size_t tooManyDivisor = 4;
    /** Two questions in a row have to be answered with no before callers are sent elsewhere. */
    static constexpr Duration shortestPause = std::chrono::milliseconds(2500);

    /** Parts of the link, in percent, from which on other VMs should get new callers, and nothing more is taken in. The
     * payload counted is about nine tenths of what goes over the link with its headers and acknowledgements. */
    static constexpr std::uint64_t busyPercent = 75;
    static constexpr std::uint64_t fullPercent = 90;
    /** The link is judged over this time: shorter, a few large requests would count as much as a flood. */
    static constexpr Duration linkWindow = std::chrono::milliseconds(500);

    [[nodiscard]] LoadShedVerdict verdictOn(const ObservedLoad& load) const;
    void forget(Instant now);
    [[nodiscard]] bool linkBeyond(std::uint64_t percent) const;

    struct Seen {
        Instant at;
        bool turnedAway = false;
    };

    LoadShedderLimits limits_;
    std::deque<Seen> seen_;
    std::size_t turnedAway_ = 0;
    Instant pausedUntil_ {};
    LinkTraffic windowBegan_;
    Instant windowBeganAt_ {};
    /** Of the last whole window, the way with more. */
    std::uint64_t linkBytesPerSecond_ = 0;
};

} // namespace swiftlift::routing
