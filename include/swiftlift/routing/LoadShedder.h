#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>

#include "swiftlift/base/Units.h"
#include "swiftlift/routing/CpuUsage.h"

namespace swiftlift::routing {

/** @brief The router's load at the moment at which a request was read. */
struct ObservedLoad {
    /** Delay of the router's timers. */
    Duration lag {};
    /** Requests that wait for an admission decision. */
    std::size_t waiting = 0;
    /** The caller had disconnected before its request was read. */
    bool callerLeft = false;
    /** How long events wait for the decision thread. */
    Duration eventDelay {};
};

/** @brief What to do with a request that was just read. */
enum class LoadShedVerdict : std::uint8_t {
    Accept,
    /** Refuse the request at once: it would delay all others. */
    Refuse,
    /** Drop the request without an answer: its caller has disconnected. */
    Drop,
};

/** @brief Why a router is not ready for more callers. */
enum class NotReadyCause : std::uint8_t { None, Lag, Cpu, Link, Refusals };

/** @return Name of the cause in log lines. */
[[nodiscard]] std::string_view toText(NotReadyCause cause) noexcept;

/** @brief Load beyond which a router refuses requests. */
struct LoadShedderLimits {
    /** Maximum delay of timers; zero for no limit. */
    Duration maxLag {};
    /** Maximum number of requests that wait for an admission decision; zero for no limit. */
    std::size_t maxWaiting = 0;
    /** Bandwidth of the VM's link in each direction, in bytes per second; zero if not known. */
    std::uint64_t linkBytesPerSecond = 0;
    /** Wait of events beyond which the router is not ready; zero for no limit. */
    Duration readyEventDelay {};
    /** Wait of events beyond which requests are refused; zero for no limit. */
    Duration maxEventDelay {};
    /** The VM's share of CPU time, as a number of cores; zero if not known. */
    double cpuCores = 0;
};

/** @brief Payload bytes that have passed over the VM's link since the router started. */
struct LinkTraffic {
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
};

/**
 * @brief Decides whether a request that was just read is accepted, and whether the router is ready for more callers.
 *
 * Most callers of an account may connect to one VM, with several times the load that its router can forward. Requests
 * then wait in the sockets until their callers have disconnected. A router that forwards those requests nevertheless
 * has no time for callers that still wait, and stays in this state long after the load has fallen to what it could
 * carry; the log shows hundreds of `caller_gone` a second, each a few ms after its request was read, and no `answered`.
 * So requests of disconnected callers are dropped, and requests are refused while the router lags. A router that turns
 * away more than a quarter of its requests reports that it is not ready, and the platform's load balancer sends new
 * callers to other VMs.
 *
 * When the VM's link is full, the router does not lag, but its traffic waits in the link's queue: connections to
 * backend servers time out, the log can't be read, and heartbeats come late. The log shows `connect: timeout` for
 * servers of all domains at one VM. So a router that has a bandwidth set for its link reports that it is not ready
 * before the link is full, and refuses requests once it is.
 *
 * A VM that is short of CPU time handles old data without any of these signs: few events wait, but for long. So the
 * router reports that it is not ready once events wait long or its share of CPU time is nearly used up. If all VMs of
 * a failure domain did so, none would be left for its callers. So with a known share of CPU time, a router stays ready
 * while a quarter of its domain's VMs are overloaded already, unless its events wait too long even for its present
 * callers.
 */
class LoadShedder {
public:
    explicit LoadShedder(LoadShedderLimits limits);

    /** @brief Records the traffic counters of the VM's link; to be called a few times a second. */
    void onTraffic(const LinkTraffic& traffic, Instant now);

    /**
     * @brief Decides on a request that was just read, and counts it.
     * @param load The router's load when the request was read.
     * @param now The current time.
     * @return What to do with the request.
     */
    [[nodiscard]] LoadShedVerdict onRequest(const ObservedLoad& load, Instant now);

    /** @brief Records how long events wait for the decision thread; to be called a few times a second. */
    void onEventDelay(Duration delay, Instant now);

    /** @brief Records the CPU time that the process has used since its start; to be called a few times a second. */
    void onCpuTime(Duration used, Instant now);

    /** @brief Sets whether as many VMs of the failure domain as may be are overloaded already, this one excepted. */
    void setOverloadLimitReached(bool reached) noexcept { overloadLimitReached_ = reached; }

    /** @return True if new callers may be sent to this router. */
    [[nodiscard]] bool ready(Instant now);

    /** @return Why new callers should not be sent to this router. */
    [[nodiscard]] NotReadyCause notReadyCause(Instant now) const;

    /** @return Used part of the VM's share of CPU time, 1 for all of it; 0 if not known. */
    [[nodiscard]] double cpuShare() const noexcept { return cpu_.share(); }

    /** @return When the caller of a refused request may retry: once the events that wait now have been handled. */
    [[nodiscard]] static Duration retryAfter(const ObservedLoad& load);

private:
    /** Time over which requests are counted: the period of the load balancer's readiness probes. */
    static constexpr Duration window = std::chrono::seconds(1);
    /** Minimum number of requests in the window for the turned-away part of them to count. */
    static constexpr std::size_t minRequests = 20;
    /** The router is not ready if more than one in this many requests was turned away. */
    static constexpr std::size_t turnedAwayDivisor = 4;
    /** How long the router stays not ready: the load balancer removes a VM only after two failed probes in a row. */
    static constexpr Duration notReadyTime = std::chrono::milliseconds(2500);

    /** Payload in percent of the link's bandwidth beyond which the router is not ready. Payload is about nine tenths of
     * the bytes on the link; the rest is headers and acknowledgements. */
    static constexpr std::uint64_t busyPercent = 75;
    /** Payload in percent of the link's bandwidth beyond which requests are refused. */
    static constexpr std::uint64_t fullPercent = 90;
    /** Time over which the link's traffic is averaged; over a shorter time, a few large requests would look like a
     * flood. */
    static constexpr Duration linkWindow = std::chrono::milliseconds(500);

    /** Used part of the VM's share of CPU time from which on the router is not ready. */
    static constexpr double busyCpuShare = 0.95;
    /** Bounds of the time after which a refused request may be retried. */
    static constexpr Duration minRetryAfter = std::chrono::seconds(1);
    static constexpr Duration maxRetryAfter = std::chrono::seconds(5);

    [[nodiscard]] LoadShedVerdict verdictFor(const ObservedLoad& load) const;
    void removeOldRequests(Instant now);
    [[nodiscard]] bool linkLoadExceeds(std::uint64_t percent) const;

    /** @brief A request that was read within the window. */
    struct CountedRequest {
        Instant at;
        bool turnedAway = false;
    };

    LoadShedderLimits limits_;
    std::deque<CountedRequest> countedRequests_;
    std::size_t turnedAwayCount_ = 0;
    /** Ends of the times for which the router is not ready, by cause. */
    Instant refusalsUntil_ {};
    Instant linkBusyUntil_ {};
    Instant cpuBusyUntil_ {};
    Instant lagUntil_ {};
    /** The same for a lag beyond which requests are refused. */
    Instant longLagUntil_ {};
    bool overloadLimitReached_ = false;
    CpuUsage cpu_;
    LinkTraffic windowStartTraffic_;
    Instant windowStart_ {};
    /** Payload over the last complete `linkWindow`, in the direction with more of it. */
    std::uint64_t measuredBytesPerSecond_ = 0;
};

} // namespace swiftlift::routing
