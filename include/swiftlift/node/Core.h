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

/** Where the ledger's checkpoints are kept. */
enum class CheckpointPlace : std::uint8_t {
    /** Among the records of the ledger's own stream. */
    InStream,
    /** In a keyed stream of their own, which outlasts the ledger's oldest records. */
    SeparateStream,
};

/** How the ledger's stream is written and read. */
struct LedgerPace {
    CheckpointPlace checkpoints = CheckpointPlace::InStream;
    /** Between two checkpoints of the fleet. */
    Duration checkpointInterval = std::chrono::seconds(30);
    /** How long bills wait for company; nothing: the longer, the more routers there are. */
    std::optional<Duration> batchPeriod;
    /** How long items wait for company before they are copied to the witness. */
    Duration copyPeriod {};
    /** Between the end of a read and the next one. */
    Duration readPause {};
    /** Keys of bills and claims that the fold remembers. All routers of a fleet need the same. */
    std::size_t keysRemembered = ledger::FoldLimits::defaultKeys;
};

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
    std::string holdingPolicy = "grants";
    /** Of `static_split`: into how many equal parts a budget is split. */
    std::uint32_t splitWays = 8;
    /** Of `grants`: in place of the figures that the services' weightings name. */
    std::optional<ledger::Watermarks> watermarks;
    /** Of `grants`: part of each budget, in percent, that the routers together hold before there is demand. */
    std::uint32_t preallocationPercent = 0;
    LedgerPace ledger;
    /** `affinity` (default), `rendezvous`, `random`, `round_robin` or `least_load`. */
    std::string routingPolicy = "affinity";
    /** Set: requests are passed on as they came, by the fleet's configuration. Unset: by services' documents. */
    std::shared_ptr<const fleet::FleetCodec> fleetCodec;
    /** Of requests that are passed on: what may be sent beyond each one's first time. */
    routing::RetryBound retries;
    /** Of a planned stop: how long new requests are still taken, until the platform's entry has noticed. */
    Duration stopAcceptance {};

    /** @return Whether a caller is given the end of an answer only once its bill is safe (LEDGER.md, S15). */
    [[nodiscard]] bool answersWaitForBills() const noexcept { return fleetCodec == nullptr; }
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
