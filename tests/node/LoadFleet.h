#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "node/Context.h"
#include "node/LoadExchange.h"
#include "node/Peers.h"
#include "swiftlift/routing/BackendTable.h"

namespace swiftlift::node::testing {

/** Size and traffic of a simulated fleet. */
struct LoadFleetSettings {
    std::size_t routers = 91;
    std::size_t domains = 4;
    std::size_t servers = 145;
    std::uint64_t seed = 1;
    /** Requests per second of all routers. */
    double requestsPerSecond = 520;
    Duration meanRunTime = std::chrono::seconds(3);
    LoadExchangeSettings loads { std::chrono::milliseconds(200), std::chrono::seconds(1), 1 };
    /** Routers keep a request at a marker server of their own, whose memory states when it was reported. */
    bool markers = false;
};

/** Routers that exchange loads over a simulated network, with a known true load of each backend server. */
class LoadFleet {
public:
    struct Traffic {
        double messages = 0;
        double bytes = 0;
    };
    struct Router {
        std::unique_ptr<Context> context;
        std::unique_ptr<Peers> peers;
        std::unique_ptr<routing::BackendTable> table;
        std::unique_ptr<LoadExchange> exchange;
        bool alive = true;
        Instant nextTick {};
        Traffic sent;
        Traffic received;
        std::vector<LogLine> lines;
    };

    explicit LoadFleet(const LoadFleetSettings& settings);

    void run(Duration time);
    void kill(std::size_t router) { routers_[router].alive = false; }
    /** Starts a new process in place of the router's, with no requests. */
    void restart(std::size_t router);
    /** Sends a request from the router to the server, which never ends. */
    void send(std::size_t router, std::size_t server);

    [[nodiscard]] Router& router(std::size_t index) { return routers_[index]; }
    [[nodiscard]] routing::BackendView view(std::size_t router, std::size_t server) const;
    /** @return Requests at the server as the router sees them; -1: it knows only its own. */
    [[nodiscard]] int seen(std::size_t router, std::size_t server) const;
    [[nodiscard]] int trueLoad(std::size_t server) const;
    /** @return Age of what the router knows of the other router's requests; needs markers. */
    [[nodiscard]] Duration ageOf(std::size_t other, std::size_t router) const;
    [[nodiscard]] std::size_t domainOf(std::size_t router) const { return router % settings_.domains; }
    [[nodiscard]] std::size_t size() const { return routers_.size(); }
    [[nodiscard]] Instant now() const { return now_; }

    /** Whether messages pass between two routers. */
    std::function<bool(std::size_t, std::size_t)> connected = [](std::size_t, std::size_t) { return true; };
    /** Each message arrives twice, the second time after up to 1 s. */
    bool duplicates = false;

private:
    struct Delivery {
        std::size_t to = 0;
        PeerReceived event;
        Incarnation receiver;
    };
    struct Attempt {
        std::size_t router = 0;
        std::size_t server = 0;
        AttemptId id;
        Incarnation incarnation;
    };

    void start(Router& router, std::size_t index);
    void exchangeHeartbeats();
    void tick(std::size_t index);
    void refreshMarker(std::size_t index);
    void execute(std::size_t index);
    void deliver(const Delivery& delivery);
    void arrive();
    void end(const Attempt& attempt);
    [[nodiscard]] double uniform(double from, double to);
    [[nodiscard]] double exponential(double mean);

    LoadFleetSettings settings_;
    std::mt19937_64 random_;
    std::vector<BackendId> servers_;
    std::vector<Router> routers_;
    std::vector<std::discrete_distribution<std::size_t>> weights_;
    std::multimap<Instant, Delivery> network_;
    std::multimap<Instant, Attempt> ends_;
    Actions actions_;
    Instant now_ { std::chrono::seconds(1000) };
    Instant nextArrival_ { now_ };
    Instant nextHeartbeats_ { now_ };
    std::uint64_t lastIncarnation_ = 0;
    std::uint64_t lastAttempt_ = 0;
};

} // namespace swiftlift::node::testing
