#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "swiftlift/routing/BackendTable.h"
#include "swiftlift/routing/RetryShare.h"
#include "swiftlift/routing/Selector.h"

namespace swiftlift::routing::test {

/** Size and load of a fleet whose servers are brittle. */
struct FleetPattern {
    std::size_t routers = 6;
    std::size_t servers = 4;
    /** Requests that a server runs at once. */
    std::uint32_t slots = 6;
    /** Requests that may wait at a server. */
    std::uint32_t waiting = 3;
    /** Requests that a server can turn away in a second. */
    double bearable = 3;
    int requestsPerSecond = 200;
    Duration work = std::chrono::milliseconds(60);
    /** Part of the requests that arrive at the first router; the others get the rest in equal parts. 0: equal. */
    double firstRouterPart = 0;
    /** Part of the callers that leave while their request is in progress. */
    double leavingCallers = 0;
    /** How long a server goes on with a request that was cancelled. */
    Duration runOn = std::chrono::milliseconds(1500);
    /** Tokens of all requests that a server's memory holds; nullopt: no limit. */
    std::optional<Tokens> memory = std::nullopt;
    /** Mean tokens that a request takes in a server's memory; they lie between half of that and one and a half. */
    Tokens requestMemory {};
    std::uint64_t seed = 1;
};

/** @return Engines: many places, streams that last for seconds. */
[[nodiscard]] FleetPattern enginePattern();
/** @return Many routers before many engines with shorter streams. */
[[nodiscard]] FleetPattern manyEnginePattern();

/**
 * Routers that each choose by their own table, and servers that turn away what they have no room for. A brittle server
 * that has to turn more away in a second than it bears falls over, loses what it runs and is back under another id.
 */
class BrittleFleet {
public:
    /** Time after which servers that have said that they are brittle may fall over, and let fewer requests wait. */
    static constexpr Duration contactTime = std::chrono::seconds(3);

    explicit BrittleFleet(const FleetPattern& pattern);

    /** Sends requests for this long, `factor` times as many as usual. */
    void run(Duration time, double factor = 1);
    /** All servers say that they are brittle from now on; they fall over from `contactTime` on. */
    void setBrittle()
    {
        brittle_ = true;
        brittleSince_ = now_;
    }
    /** From now on so many requests may wait at a server; those that wait already go on waiting. */
    void setWaiting(std::uint32_t waiting) { pattern_.waiting = waiting; }
    /** The router's process is killed and starts again: it knows nothing, and its requests are dropped. */
    void restartRouter(std::size_t router);
    /** The router neither sends anything to its peers nor hears from them. */
    void cutFromPeers(std::size_t router) { cut_.insert(router); }
    void reconnect(std::size_t router) { cut_.erase(router); }
    /** From now on the router takes these for all routers of the fleet. */
    void listRouters(std::size_t router, const std::vector<std::size_t>& listed);
    /** The router ends for good; its share of the load goes to the next one. */
    void removeRouter(std::size_t router) { removed_.insert(router); }

    [[nodiscard]] std::size_t falls() const noexcept { return falls_; }
    [[nodiscard]] std::size_t turnedAway() const noexcept { return turnedAwayCount_; }
    /** @return Requests turned away that a router had sent for a place of its own part. */
    [[nodiscard]] std::size_t turnedAwayInPart() const noexcept { return turnedAwayInPart_; }
    [[nodiscard]] std::size_t served() const noexcept { return served_; }
    [[nodiscard]] std::size_t refused() const noexcept { return refused_; }
    /** @return Requests that sound servers have room for, of those that arrived and whose callers stay. */
    [[nodiscard]] double servable() const noexcept { return servable_; }
    [[nodiscard]] std::size_t allowedFalls() const noexcept { return 2 + pattern_.servers / 10; }

private:
    static constexpr Duration oneWay = std::chrono::milliseconds(2);
    static constexpr Duration peerOneWay = std::chrono::milliseconds(1);
    static constexpr Duration heartbeatPeriod = std::chrono::milliseconds(500);
    static constexpr Duration tickPeriod = std::chrono::milliseconds(20);
    static constexpr Duration downTime = std::chrono::seconds(3);
    /** How long a request waits in a router for a server. */
    static constexpr Duration patience = std::chrono::milliseconds(500);
    /** Time after which a server stops a request. */
    static constexpr Duration timeLeft = std::chrono::seconds(12);
    /** Maximum number of servers that a request is sent to. */
    static constexpr std::size_t maxArrivals = 4;

    enum class Step : std::uint8_t {
        Arrives,
        Ends,
        TurnedAway,
        Answered,
        Lost,
        Left,
        Stops,
        News,
        Heartbeat,
        Tick,
        Up,
        Retry
    };

    struct Request {
        std::size_t router = 0;
        std::uint64_t process = 0;
        std::set<BackendId> excluded;
        Instant arrivedAt {};
        AttemptId attempt;
        std::size_t server = 0;
        BackendId serverId;
        Tokens memory;
        /** The attempt is in progress, as far as the router knows. */
        bool inProgress = false;
        /** The caller leaves during the request. */
        bool leaves = false;
    };

    struct Due {
        Instant at {};
        Step step = Step::Arrives;
        std::shared_ptr<Request> request;
        std::size_t index = 0;
        std::vector<SharedAnnouncement> news {};
        std::uint64_t order = 0;

        [[nodiscard]] bool operator<(const Due& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    struct Server {
        std::uint64_t life = 1;
        bool up = true;
        std::map<AttemptId, Tokens> running;
        Tokens usedMemory;
        std::deque<std::shared_ptr<Request>> queue;
        std::deque<Instant> turnedAway;
    };

    struct Router {
        std::uint64_t process = 1;
        std::unique_ptr<BackendTable> table;
        std::unique_ptr<Selector> selector;
        std::unique_ptr<RetryShare> retries;
        std::deque<std::shared_ptr<Request>> waiting;
    };

    [[nodiscard]] BackendId idOf(std::size_t server) const;
    [[nodiscard]] std::vector<BackendEntry> entries() const;
    [[nodiscard]] Announcement announcement() const;
    /** @return Requests that all servers have room for in a second. */
    [[nodiscard]] double capacity() const;
    /** @return Mean time for which a request whose caller leaves takes its place, as a part of `work`. */
    [[nodiscard]] double timeOfLeaver() const;
    [[nodiscard]] std::size_t drawRouter();
    void startRouter(std::size_t router);
    void listServers();
    void push(Instant at, Step step, std::shared_ptr<Request> request, std::size_t index = 0,
        std::vector<SharedAnnouncement> news = {});
    void arriveAtRouter();
    /** @return False if the request has to wait. */
    bool dispatch(const std::shared_ptr<Request>& request);
    void dispatchWaiting(std::size_t router);
    void handleDue();
    void handle(const Due& due);
    void arriveAtServer(const std::shared_ptr<Request>& request);
    /** @return True if the server has a free place, and memory for the request. */
    [[nodiscard]] bool hasRoom(const Server& server, const Request& request) const;
    void start(const std::shared_ptr<Request>& request);
    void onRunEnded(const Due& due);
    /** The server stops a request whose caller has left. */
    void onStopped(const Due& due);
    void release(Server& server, AttemptId attempt);
    void onCallerLeft(const std::shared_ptr<Request>& request);
    void turnAway(const std::shared_ptr<Request>& request);
    void fall(std::size_t server);
    void onAnswer(const Due& due);
    void tellPeers(std::size_t router, bool urgentOnly);

    FleetPattern pattern_;
    std::vector<PeerAddress> addresses_;
    std::vector<Router> routers_;
    std::vector<Server> servers_;
    std::set<std::size_t> cut_;
    std::set<std::size_t> removed_;
    std::priority_queue<Due> due_;
    std::mt19937_64 random_;
    Instant now_ { std::chrono::seconds(100) };
    std::uint64_t lastAttempt_ = 0;
    std::uint64_t lastOrder_ = 0;
    bool brittle_ = false;
    Instant brittleSince_ {};
    std::size_t falls_ = 0;
    std::size_t turnedAwayCount_ = 0;
    std::size_t turnedAwayInPart_ = 0;
    std::size_t served_ = 0;
    std::size_t refused_ = 0;
    double servable_ = 0;
};

} // namespace swiftlift::routing::test
