#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/node/Action.h"
#include "swiftlift/node/Event.h"

namespace swiftlift::node {

/** What a router is told at its start, and never changes. */
struct CoreSettings {
    Incarnation incarnation;
    PeerAddress peerAddress;
    FailureDomain domain;
    Region region;
    /** Routers to speak to before the VM list has been read. */
    std::vector<PeerAddress> seeds;
    std::uint32_t ledgerShards = 1;
    std::uint64_t seed = 1;
    /** `grants` (default), `static_split` or `append_per_request`: how budgets are held. */
    std::string moneyPolicy = "grants";
    /** Of `static_split`: into how many equal parts a budget is split. */
    std::uint32_t splitWays = 8;
    /** `affinity` (default), `random`, `round_robin` or `least_load`. */
    std::string routingPolicy = "affinity";
};

/**
 * @brief All decisions of one router: events in, actions out. No I/O, no threads, no clock.
 *
 * The same class runs in `swiftlift-router`, in tests and under any bench. Equal settings and equal events give equal
 * actions.
 */
class Core {
public:
    explicit Core(CoreSettings settings);
    ~Core();
    Core(Core&&) noexcept;
    Core& operator=(Core&&) noexcept;

    /** @param actions Takes what has to be done before anything else happens, in order. */
    void start(Instant now, Actions& actions);

    /**
     * @param event What happened.
     * @param now When; never before the moment of an earlier call.
     * @param actions Takes what has to be done, in order.
     */
    void handle(const Event& event, Instant now, Actions& actions);

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace swiftlift::node
