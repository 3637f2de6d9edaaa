#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/fleet/Fwd.h"
#include "swiftlift/ledger/Fold.h"
#include "swiftlift/ledger/HoldingPolicy.h"
#include "swiftlift/node/Action.h"
#include "swiftlift/node/Event.h"
#include "swiftlift/routing/RetryShare.h"

namespace swiftlift::node {

/** Where the ledger's checkpoints are stored. */
enum class CheckpointPlace : std::uint8_t {
    /** Among the records of the ledger's own stream. */
    InStream,
    /** In a separate keyed stream, whose records outlive the oldest records of the ledger's stream. */
    SeparateStream,
};

/** How the ledger's stream is written and read. */
struct LedgerPace {
    CheckpointPlace checkpoints = CheckpointPlace::InStream;
    /** Time between two checkpoints, whichever routers of the fleet write them. */
    Duration checkpointInterval = std::chrono::seconds(30);
    /** How long bills are collected into one record; nullopt: grows with the number of routers. */
    std::optional<Duration> batchPeriod;
    /** How long ledger items are collected into one message before they are copied to the witness. */
    Duration copyPeriod {};
    /** Time between the end of a read of the stream and the next read. */
    Duration readPause {};
    /** Number of bill and claim keys that the fold retains; must be equal at all routers of a fleet. */
    std::size_t keysRemembered = ledger::FoldLimits::defaultKeys;
};

/** Calls per second that the log serves for the whole fleet; 0: not limited. */
struct LogRates {
    double reads = 0;
    double appends = 0;
};

/** How routers tell each other their requests at backend servers. */
struct LoadExchangeSettings {
    /** Time between two reports; 0: routers don't exchange loads. */
    Duration period {};
    /** Time after which reports and digests no longer count. */
    Duration lifetime = std::chrono::seconds(1);
    /** Number of routers from which on a fleet exchanges loads. */
    std::uint32_t minRouters = 24;
};

/** A router's settings, fixed from its start on. */
struct CoreSettings {
    Incarnation incarnation;
    PeerAddress peerAddress;
    FailureDomain domain;
    Region region;
    /** Bandwidth of this router's link, in Mbit/s; 0: not known. */
    double bandwidth = 0;
    /** Where this router relays other routers' connections to backend servers; empty: it relays none. */
    RelayAddress relayAddress;
    /** Addresses of routers to contact before the VM list has been read. */
    std::vector<PeerAddress> seeds;
    std::uint32_t ledgerShards = 1;
    /** Seed of the router's random choices. */
    std::uint64_t seed = 1;
    /** `grants` (default), `static_split` or `append_per_request`: how budgets are held. */
    std::string holdingPolicy = "grants";
    /** Only for `static_split`: number of equal parts that each budget is split into. */
    std::uint32_t splitWays = 8;
    /** Only for `grants`: replaces the watermarks that the services' weightings define. */
    std::optional<ledger::Watermarks> watermarks;
    /** Only for `grants`: percentage of each budget that the routers together hold before there is demand. */
    std::uint32_t preallocationPercent = 0;
    /** Only for `grants`: how tokens are borrowed and lent. */
    ledger::LoanTerms loans;
    LedgerPace ledger;
    LogRates logRates;
    /** `affinity` (default), `rendezvous`, `predicted`, `random`, `round_robin` or `least_load`. */
    std::string routingPolicy = "affinity";
    /** Set: requests are proxied unchanged, by the fleet's configuration. Unset: services' documents apply. */
    std::shared_ptr<const fleet::FleetCodec> fleetCodec;
    /** Limit on the retries of proxied requests. */
    routing::RetryBound retries;
    LoadExchangeSettings loads;
    /** How long new requests are still accepted after a stop was requested, until the platform's load balancer has
     * noticed. */
    Duration stopAcceptance {};
    /** How long after a stop was requested requests in progress may run until they are cut; zero: without limit. */
    Duration stopWork {};

    /** @return Whether the end of an answer is sent to the caller only once its bill is durable (LEDGER.md, S15). */
    [[nodiscard]] bool answersWaitForBills() const noexcept { return fleetCodec == nullptr; }
};

/**
 * @brief All decisions of one router: events in, actions out. No I/O, no threads, no clock.
 *
 * `swiftlift-router`, the tests and the benchmarks all run this class. Equal settings and equal events give equal
 * actions.
 */
class Core {
public:
    explicit Core(CoreSettings settings);
    ~Core();
    Core(Core&&) noexcept;
    Core& operator=(Core&&) noexcept;

    /**
     * @brief To be called once, before the first event.
     * @param now Time of the start.
     * @param actions Receives the actions to be executed before the first event, in order.
     */
    void start(Instant now, Actions& actions);

    /**
     * @brief Handles one event.
     * @param event The event.
     * @param now Time of the event; must not be before that of an earlier call.
     * @param actions Receives the actions to be executed, in order.
     */
    void handle(const Event& event, Instant now, Actions& actions);

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace swiftlift::node
