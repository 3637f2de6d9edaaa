#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "swiftlift/placement/OrderLease.h"

namespace swiftlift::placement::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Some routers, each with its part in the lease, before one log. Equal seeds give equal runs. */
class LeaseWorld {
public:
    struct Router {
        std::unique_ptr<OrderLease> lease;
        bool frozen = false;
        bool reachesLog = true;
        std::uint64_t read = 0;
        std::vector<LeaseChange> changes;
        /** Fencing numbers it ordered with, and when. */
        std::vector<std::pair<std::uint64_t, Instant>> orders;
    };

    explicit LeaseWorld(std::size_t count, std::uint64_t seed = 1)
    {
        for (std::size_t index = 0; index < count; ++index) {
            addRouter(seed + index);
        }
    }

    std::size_t addRouter(std::uint64_t seed)
    {
        Router router;
        router.lease = std::make_unique<OrderLease>(Incarnation { 100 + routers.size() }, LeaseSettings {}, seed);
        routers.push_back(std::move(router));
        return routers.size() - 1;
    }

    void append(const Claim& claim) { log.push_back(encode(claim)); }

    void run(Duration duration)
    {
        const Instant end = now + duration;
        while (now < end) {
            now += step;
            for (Router& router : routers) {
                if (!router.frozen) {
                    act(router);
                }
            }
        }
    }

    [[nodiscard]] bool runUntil(const std::function<bool()>& condition, Duration bound = seconds(60))
    {
        const Instant end = now + bound;
        while (!condition() && now < end) {
            run(step);
        }
        return condition();
    }

    /** @return Routers that may order now. */
    [[nodiscard]] std::vector<std::size_t> holders() const
    {
        std::vector<std::size_t> result;
        for (std::size_t index = 0; index < routers.size(); ++index) {
            if (routers[index].lease->mayIssueOrders(now)) {
                result.push_back(index);
            }
        }
        return result;
    }

    static constexpr Duration step = milliseconds(50);
    Instant now {};
    std::vector<std::string> log;
    std::vector<Router> routers;
    /** Appends that are held back; the test lands them itself. */
    int holdAppends = 0;
    std::vector<Claim> held;

private:
    void act(Router& router)
    {
        if (router.reachesLog) {
            for (; router.read < log.size(); ++router.read) {
                router.lease->onRecord(Offset { router.read }, decode(log[router.read]), now);
            }
            router.lease->onCaughtUp(now);
        }
        if (const auto claim = router.lease->due(router.reachesLog, now)) {
            take(router, *claim);
        }
        for (const LeaseChange& change : router.lease->takeChanges()) {
            router.changes.push_back(change);
        }
        if (router.lease->mayIssueOrders(now)) {
            router.orders.emplace_back(router.lease->fencing(), now);
        }
    }

    void take(Router& router, const Claim& claim)
    {
        if (holdAppends > 0) {
            --holdAppends;
            held.push_back(claim);
            return;
        }
        append(claim);
        router.lease->onAppendEnded();
    }
};

} // namespace swiftlift::placement::testing
