#include "RouterProcess.h"

#include <algorithm>
#include <memory>
#include <thread>
#include <utility>

#include "CoreDecider.h"
#include "platform/HttpDialect.h"
#include "platform/StoreDialect.h"
#include "swiftlift/transport/Endpoint.h"
#include "swiftlift/transport/NativeLogDialect.h"

namespace swiftlift::router {

namespace {

    using namespace std::chrono_literals;

    constexpr auto operatorLimit = 2s;
    /** For callers to take what is written for them, once everything in progress has ended. */
    constexpr auto drainLimit = 5s;
    constexpr auto readyPoll = 20ms;
    /** On a quarter of a core each tick costs as much as a short request; nothing of the core's needs it more often. */
    constexpr Duration smallVmTick = 50ms;
    /** A round trip within a region takes 3 ms, and a lost opening packet is sent again after a second: what has not
     * connected by then is better sought elsewhere. */
    constexpr auto backendConnectTime = 200ms;
    /** At about 1 ms a decision on a quarter of a core, a tenth of a second's work: a third of the shortest objective.
     */
    constexpr std::size_t maxDecisionsWaiting = 100;
    /** As long again in the sockets. */
    constexpr auto maxLag = 100ms;
    /** A third of the 120 ms within which an event has to be with its caller. */
    constexpr auto streamReadInterval = 40ms;
    /** At 1 ms a request on a tenth of a core, half a second's work: callers wait for a second at most to be read, and
     * one that finds this VM full asks another VM. */
    constexpr int acceptBacklog = 64;
    constexpr double bytesPerMegabit = 125'000;
    /** From here on, packets of answers come faster than one in 4 ms: an event of each stream comes every 20 to 40 ms.
     */
    constexpr std::size_t busyAttempts = 8;
    /** Of the shortest objective, 100 ms, what a request loses by it at each of its four steps is a tenth. */
    constexpr auto busyGatherTime = 4ms;
    /** A connection to the log that fell silent has to show before a configuration is overdue, 2 s. */
    constexpr auto storeWait = 1000ms;
    constexpr auto storeLimit = 800ms;
    constexpr auto storeRetry = 100ms;
    constexpr auto storeRetryMost = 500ms;
    /** Twelfths of the time that a planned stop is given: for what is in progress, then for callers to take what is
     * written; the rest is for the threads to end. */
    constexpr int stopParts = 12;
    constexpr int stopPartsInProgress = 10;
    constexpr int stopPartsDraining = 1;

    transport::Endpoint toEndpoint(const settings::Endpoint& text)
    {
        return transport::parseEndpoint(text.value()).value_or(transport::Endpoint {});
    }

    logging::JsonLogSettings toLogSettings(const settings::RouterSettings& settings)
    {
        logging::JsonLogSettings log;
        log.file = settings.logging.file;
        log.level = static_cast<logging::Level>(settings.logging.level);
        log.vm = settings.vm.peer.value();
        return log;
    }

    bool speaksPlatform(const settings::RouterSettings& settings)
    {
        return settings.dialect == settings::SpokenDialect::Platform;
    }

    std::shared_ptr<const transport::LogDialect> logDialect(const settings::RouterSettings& settings)
    {
        if (speaksPlatform(settings)) {
            return std::make_shared<platform::StoreDialect>();
        }
        return std::make_shared<transport::NativeLogDialect>();
    }

    std::shared_ptr<const transport::ProxyDialect> proxyDialect(const settings::RouterSettings& settings)
    {
        return speaksPlatform(settings) ? std::make_shared<platform::HttpDialect>() : nullptr;
    }

    transport::StreamLimits toStreamLimits(const settings::RouterSettings& settings)
    {
        transport::StreamLimits limits;
        if (speaksPlatform(settings)) {
            limits.connectTime = backendConnectTime;
            limits.maxDecisionsWaiting = maxDecisionsWaiting;
            limits.maxLag = maxLag;
            limits.acceptBacklog = acceptBacklog;
            limits.linkBytesPerSecond = static_cast<std::uint64_t>(settings.vm.bandwidth * bytesPerMegabit);
            limits.readInterval = streamReadInterval;
            limits.gatherFrom = busyAttempts;
            limits.gatherTime = busyGatherTime;
        }
        return limits;
    }

    transport::LogClientSettings toLogClientSettings(const settings::RouterSettings& settings)
    {
        transport::LogClientSettings client;
        if (speaksPlatform(settings)) {
            client.pollWait = storeWait;
            client.readLimit = storeLimit;
            client.appendLimit = storeLimit;
            client.retryFirst = storeRetry;
            client.retryMost = storeRetryMost;
        }
        for (const auto& endpoint : settings.logEndpoints) {
            client.endpoints.push_back(toEndpoint(endpoint));
        }
        return client;
    }

    transport::PeerLinksSettings toPeerSettings(const settings::RouterSettings& settings)
    {
        transport::PeerLinksSettings peers;
        peers.self = settings.vm.peer;
        for (const auto& [peer, endpoint] : settings.peers.via) {
            peers.via.emplace(peer, toEndpoint(endpoint));
        }
        return peers;
    }

    transport::PlatformSettings toPlatformSettings(const settings::RouterSettings& settings)
    {
        transport::PlatformSettings platform;
        platform.vmList = toEndpoint(settings.vmListEndpoint);
        return platform;
    }

} // namespace

RouterProcess::RouterProcess(const settings::RouterSettings& settings, std::uint64_t seed)
    : settings_(settings)
    , seed_(seed)
    , decisions_(transport::decisionRingCapacity)
    , journal_(toLogSettings(settings))
    , metrics_(traffic_)
    , streams_(toStreamLimits(settings), decisions_, metrics_, journal_, proxyDialect(settings))
    , log_(toLogClientSettings(settings), logDialect(settings), decisions_, traffic_)
    , peers_(toPeerSettings(settings), decisions_, traffic_, journal_)
    , platform_(toPlatformSettings(settings), decisions_, traffic_)
    , operators_(decisions_, operatorLimit)
    , carrier_({ streams_, log_, peers_, platform_, operators_, metrics_, journal_ })
    , loop_(
          transport::drawIncarnation(),
          [this](Incarnation incarnation) -> std::unique_ptr<transport::Decider> {
              return std::make_unique<CoreDecider>(toCoreSettings(settings_, incarnation, seed_));
          },
          decisions_, carrier_, speaksPlatform(settings) ? smallVmTick : transport::DecisionLoop::defaultTick)
{
}

Findings RouterProcess::listen()
{
    Findings findings;
    const auto check = [&](bool taken, const char* place, const std::string& reason) {
        if (!taken) {
            findings.push_back({ place, 0, 0, reason });
        }
    };
    check(journal_.isOpen(), "logging.file", "can't be written to: " + settings_.logging.file);
    check(streams_.listen(toEndpoint(settings_.callersListen)), "callers.listen", streams_.lastReason());
    if (!settings_.readinessListen.value().empty()) {
        check(streams_.listenReadiness(toEndpoint(settings_.readinessListen)), "callers.readiness",
            streams_.lastReason());
    }
    check(peers_.listen(), "vm.peer", peers_.lastReason());
    check(operators_.start(toEndpoint(settings_.operatorsListen)), "operators.listen", operators_.lastReason());
    check(metrics_.listen(toEndpoint(settings_.metricsListen)), "metrics.listen", metrics_.lastReason());
    return findings;
}

void RouterProcess::start()
{
    addReadings();
    journal_.write(logging::Level::Info, "process_start",
        { { "seed", std::to_string(seed_) }, { "callers", settings_.callersListen.value() },
            { "domain", settings_.vm.domain.value() } });
    metrics_.start();
    peers_.start();
    streams_.start();
    if (!speaksPlatform(settings_)) {
        platform_.start();
    }
    loop_.start();
}

void RouterProcess::reload(const settings::RouterSettings& changed)
{
    const auto level = changed.logging.level;
    const bool levelChanged = level != settings_.logging.level;
    settings_.logging.level = level;
    journal_.setLevel(static_cast<logging::Level>(level));
    // A listener or the log's address changes with the VM's own: the process then starts anew anyway.
    const bool placeChanged = changed.vm.peer != settings_.vm.peer || changed.callersListen != settings_.callersListen
        || changed.logEndpoints != settings_.logEndpoints;
    journal_.write(logging::Level::Info, "reload",
        { { "outcome", std::string("in_force") }, { "level_changed", levelChanged },
            { "needs_restart", placeChanged } });
}

void RouterProcess::rejectReload(const Findings& findings)
{
    journal_.write(
        logging::Level::Error, "reload", { { "outcome", std::string("rejected") }, { "findings", toText(findings) } });
}

void RouterProcess::stop()
{
    const auto limit = settings_.stopLimit * stopPartsInProgress / stopParts;
    const auto until = std::chrono::steady_clock::now() + limit;
    transport::TaggedEvent request { Incarnation {}, node::StopRequested {} };
    while (!decisions_.tryPush(request) && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(readyPoll);
    }
    while (!carrier_.stopReady() && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(readyPoll);
    }
    journal_.write(logging::Level::Info, "process_stop", { { "ready", carrier_.stopReady() } });
    // The decision thread goes on until the last replies are with the callers.
    streams_.stop(std::min<std::chrono::milliseconds>(drainLimit,
        std::chrono::duration_cast<std::chrono::milliseconds>(settings_.stopLimit * stopPartsDraining / stopParts)));
    loop_.stop();
    operators_.stop();
    platform_.stop();
    log_.stop();
    peers_.stop();
    metrics_.stop();
}

void RouterProcess::addReadings()
{
    metrics_.addReading("ring_decisions_fill", "Events that wait for the decision thread",
        [this] { return static_cast<double>(decisions_.size()); });
    metrics_.addReading("ring_decisions_refused", "Events that found the ring of the decision thread full",
        [this] { return static_cast<double>(decisions_.refused()); });
    metrics_.addReading("caller_connections", "Connections of callers",
        [this] { return static_cast<double>(streams_.counts().connections); });
    metrics_.addReading("attempts_running", "Requests at backend servers",
        [this] { return static_cast<double>(streams_.counts().attempts); });
    metrics_.addReading("foreign_lines", "Lines of backend servers that were not the answer asked for",
        [this] { return static_cast<double>(streams_.counts().foreignLines); });
    metrics_.addReading("backend_connects", "Connections made to backend servers",
        [this] { return static_cast<double>(streams_.counts().backendConnects); });
    metrics_.addReading("backend_reuses", "Requests over a kept connection",
        [this] { return static_cast<double>(streams_.counts().backendReuses); });
    metrics_.addReading("overloaded", "Requests refused because the router was full",
        [this] { return static_cast<double>(streams_.counts().overloaded); });
    metrics_.addReading("left_unread", "Requests whose callers had left before they were read",
        [this] { return static_cast<double>(streams_.counts().leftUnread); });
    metrics_.addReading("peer_messages_dropped", "Messages between routers that were dropped here",
        [this] { return static_cast<double>(peers_.dropped()); });
    metrics_.addReading("log_lines_dropped", "Log lines that a slow consumer cost",
        [this] { return static_cast<double>(journal_.dropped()); });
    metrics_.addReading("incarnations_replaced", "Times that this process went on under a new incarnation",
        [this] { return static_cast<double>(loop_.replacements()); });
}

} // namespace swiftlift::router
