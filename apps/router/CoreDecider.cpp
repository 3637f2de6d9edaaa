#include "CoreDecider.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

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

    /** The platform's entry asks once a second and sends no more callers after two misses. */
    constexpr Duration entryNotices = std::chrono::milliseconds(2500);
    /** Of others' records, which are read for nobody who waits: a holder reads back what it drew, and a witness what it
     * is asked about, without it. Three calls a second in place of nine; a signal that money is short is still read
     * within the 400 ms that the holder that sent it waits for an answer. */
    constexpr Duration ledgerReadPause = std::chrono::milliseconds(300);
    /** No caller waits for a copy there; a router that dies loses so much of its bills to its grant's end. */
    constexpr Duration copyPeriod = std::chrono::milliseconds(250);
    /** Of the log's retention: the newest checkpoint is younger, also where several routers miss their turns. */
    constexpr int checkpointsInRetention = 10;
    constexpr Duration longestCheckpointInterval = std::chrono::seconds(2);
    /** Attempts have ids of their own there, so no bill ever comes twice under one key. */
    constexpr std::size_t keysRemembered = 64;

    double seconds(Duration time) { return std::chrono::duration<double>(time).count(); }

    void speakPlatform(const settings::RouterSettings& settings, node::CoreSettings& core)
    {
        core.fleetCodec = std::make_shared<platform::ConfigCodec>();
        core.ledger.checkpoints = node::CheckpointPlace::SeparateStream;
        core.ledger.checkpointInterval
            = std::min<Duration>(settings.ledger.retention / checkpointsInRetention, longestCheckpointInterval);
        core.ledger.readPause = ledgerReadPause;
        core.ledger.copyPeriod = copyPeriod;
        core.ledger.keysRemembered = keysRemembered;
        core.stopAcceptance = entryNotices;
    }

} // namespace

node::CoreSettings toCoreSettings(const settings::RouterSettings& settings, Incarnation incarnation, std::uint64_t seed)
{
    node::CoreSettings core;
    core.incarnation = incarnation;
    core.peerAddress = settings.vm.peer;
    core.domain = settings.vm.domain;
    core.region = settings.vm.region;
    core.seeds = settings.peers.seeds;
    core.ledgerShards = settings.ledger.shards;
    core.seed = seed;
    core.holdingPolicy = settings::toText(settings.ledger.policy);
    core.splitWays = settings.ledger.splitWays;
    core.routingPolicy = settings::toText(settings.routing);
    core.preallocationPercent = settings.ledger.preallocationPercent;
    if (settings.ledger.highWatermark > Duration::zero()) {
        core.watermarks
            = ledger::Watermarks { seconds(settings.ledger.lowWatermark), seconds(settings.ledger.highWatermark) };
    }
    if (settings.ledger.batchPeriod > Duration::zero()) {
        core.ledger.batchPeriod = settings.ledger.batchPeriod;
    }
    core.retries = { settings.retries.ratio, settings.retries.extra, settings.retries.window };
    if (settings.dialect == settings::SpokenDialect::Platform) {
        speakPlatform(settings, core);
    }
    return core;
}

} // namespace swiftlift::router
