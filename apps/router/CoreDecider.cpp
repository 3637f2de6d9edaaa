#include "CoreDecider.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

#include "StopParts.h"
#include "platform/ConfigCodec.h"

namespace swiftlift::router {

CoreDecider::CoreDecider(node::CoreSettings settings)
    : core_(std::move(settings))
{
}

void CoreDecider::start(Instant now, node::Actions& actions) { core_.start(now, actions); }

void CoreDecider::handle(const node::Event& event, Instant now, node::Actions& actions)
{
    core_.handle(event, now, actions);
}

namespace {

    /** Time after which the platform's load balancer no longer sends callers to a router that reports not ready: the
     * load balancer polls readiness once a second and stops after two failed polls. */
    constexpr Duration loadBalancerDetectionTime = std::chrono::milliseconds(2500);
    /** Pause between two reads of other routers' ledger records. No request waits for these reads: a holder reads back
     * its own draws, and a witness the records that it is asked about, without this pause. The pause reduces the reads
     * from nine to three a second. A message that a budget is short of tokens is still read within the 400 ms for which
     * the holder that sent it waits for an answer. */
    constexpr Duration ledgerReadPause = std::chrono::milliseconds(300);
    /** Time for which ledger items are collected before they are copied to the witness. No caller waits for a copy in
     * the platform's dialect. If a router crashes, its bills of up to this time that are not yet in the log are lost.
     * Witnesses only seal its grants, so the tokens of the lost bills stay held there and are not spent twice. */
    constexpr Duration copyPeriod = std::chrono::milliseconds(250);
    /** Number of checkpoint intervals in the log's retention. The newest checkpoint then stays younger than the
     * retention even if several routers in succession fail to write theirs. */
    constexpr int checkpointsInRetention = 10;
    constexpr Duration maxCheckpointInterval = std::chrono::seconds(2);
    /** Number of bill keys that are kept to detect duplicate bills. Few suffice: in the platform's dialect each attempt
     * has its own id, so two bills never have the same key. */
    constexpr std::size_t maxBillKeys = 64;

    double toSeconds(Duration time) { return std::chrono::duration<double>(time).count(); }

    void applyPlatformSettings(const settings::RouterSettings& settings, node::CoreSettings& core)
    {
        core.fleetCodec = std::make_shared<platform::ConfigCodec>();
        core.ledger.checkpoints = node::CheckpointPlace::SeparateStream;
        core.ledger.checkpointInterval
            = std::min<Duration>(settings.ledger.retention / checkpointsInRetention, maxCheckpointInterval);
        core.ledger.readPause = ledgerReadPause;
        core.ledger.copyPeriod = copyPeriod;
        core.ledger.keysRemembered = maxBillKeys;
        core.stopAcceptance = loadBalancerDetectionTime;
        core.stopWork = settings.stopLimit * stopPartsInProgress / stopParts;
    }

} // namespace

node::CoreSettings toCoreSettings(const settings::RouterSettings& settings, Incarnation incarnation, std::uint64_t seed)
{
    node::CoreSettings core;
    core.incarnation = incarnation;
    core.peerAddress = settings.vm.peer;
    core.domain = settings.vm.domain;
    core.region = settings.vm.region;
    core.bandwidth = settings.vm.bandwidth;
    core.relayAddress = RelayAddress(settings.relayListen.value());
    core.seeds = settings.peers.seeds;
    core.ledgerShards = settings.ledger.shards;
    core.seed = seed;
    core.holdingPolicy = settings::toText(settings.ledger.policy);
    core.splitWays = settings.ledger.splitWays;
    core.routingPolicy = settings::toText(settings.routing);
    core.preallocationPercent = settings.ledger.preallocationPercent;
    if (settings.ledger.loans == settings::LoanOrder::Demand) {
        core.loans = ledger::demandLoanTerms();
    }
    if (settings.ledger.highWatermark > Duration::zero()) {
        core.watermarks
            = ledger::Watermarks { toSeconds(settings.ledger.lowWatermark), toSeconds(settings.ledger.highWatermark) };
    }
    if (settings.ledger.batchPeriod > Duration::zero()) {
        core.ledger.batchPeriod = settings.ledger.batchPeriod;
    }
    core.logRates = { settings.logReadRate, settings.logAppendRate };
    core.retries = { settings.retries.ratio, settings.retries.extra, settings.retries.window };
    core.loads = { settings.loads.period, settings.loads.lifetime, settings.loads.minRouters };
    if (settings.dialect == settings::SpokenDialect::Platform) {
        applyPlatformSettings(settings, core);
    }
    return core;
}

} // namespace swiftlift::router
