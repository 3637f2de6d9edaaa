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

/** Simulates routers that compete for the order lease through one log. Equal seeds give equal runs. */
class LeaseWorld {
public:
    struct Router {
        std::unique_ptr<OrderLease> lease;
        /** True while the router's process does nothing. */
        bool frozen = false;
        bool reachesLog = true;
        /** Offset of the next record to read. */
        std::uint64_t nextToRead = 0;
        std::vector<LeaseChange> changes;
        /** For each step in which the router could issue orders: its fencing number, and when. */
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

    /** Appends the claim to the log. */
    void append(const Claim& claim) { log.push_back(encode(claim)); }

    /** Runs all routers that are not frozen, in steps of `step`. */
    void run(Duration duration)
    {
        const Instant end = now + duration;
        while (now < end) {
            now += step;
            for (Router& router : routers) {
                if (!router.frozen) {
                    runStep(router);
                }
            }
        }
    }

    /** @return True when the condition held within `bound`. */
    [[nodiscard]] bool runUntil(const std::function<bool()>& condition, Duration bound = seconds(60))
    {
        const Instant end = now + bound;
        while (!condition() && now < end) {
            run(step);
        }
        return condition();
    }

    /** @return Indices of the routers that may issue orders now. */
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
    /** Number of next appends to hold back in `heldClaims`; the test appends them itself. */
    int appendsToHold = 0;
    std::vector<Claim> heldClaims;

private:
    void runStep(Router& router)
    {
        if (router.reachesLog) {
            for (; router.nextToRead < log.size(); ++router.nextToRead) {
                router.lease->onRecord(Offset { router.nextToRead }, decode(log[router.nextToRead]), now);
            }
            router.lease->onCaughtUp(now);
        }
        if (const auto claim = router.lease->due(router.reachesLog, now)) {
            appendOrHold(router, *claim);
        }
        for (const LeaseChange& change : router.lease->takeChanges()) {
            router.changes.push_back(change);
        }
        if (router.lease->mayIssueOrders(now)) {
            router.orders.emplace_back(router.lease->fencing(), now);
        }
    }

    void appendOrHold(Router& router, const Claim& claim)
    {
        if (appendsToHold > 0) {
            --appendsToHold;
            heldClaims.push_back(claim);
            return;
        }
        append(claim);
        router.lease->onAppendEnded();
    }
};

} // namespace swiftlift::placement::testing
