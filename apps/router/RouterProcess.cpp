#include "RouterProcess.h"

#include <algorithm>
#include <memory>
#include <thread>
#include <utility>

#include "CoreDecider.h"
#include "StopParts.h"
#include "platform/HttpDialect.h"
#include "platform/StoreDialect.h"
#include "swiftlift/transport/Endpoint.h"
#include "swiftlift/transport/NativeLogDialect.h"

namespace swiftlift::router {

namespace {

    using namespace std::chrono_literals;

    /** Time limit of one call of an operator. */
    constexpr auto operatorTimeout = 2s;
    /** Time at most for callers to close their connections, once all requests in progress have ended. */
    constexpr auto maxDrainTime = 5s;
    /** Interval at which stop() checks whether the core is ready to stop. */
    constexpr auto stopPollInterval = 20ms;
    /** Tick of the decision thread on a small VM. On a quarter of a CPU core each tick costs as much as a short
     * request, and nothing in the decision core needs a shorter tick. */
    constexpr Duration smallVmTick = 50ms;
    /** Timeout of connecting to a backend server. A round trip within a region takes 3 ms, and a lost SYN packet is
     * sent again only after a second: a connection that is not open after this time is better tried at another backend
     * server. */
    constexpr auto backendConnectTimeout = 200ms;
    /** Events queued for the decision thread beyond which new requests are refused. At about 1 ms a decision on a
     * quarter of a CPU core, they take a tenth of a second: a third of the shortest latency objective. */
    constexpr std::size_t maxDecisionsWaiting = 100;
    /** Delay of the streams thread beyond which new requests are refused: as long as the queued decisions take. */
    constexpr auto maxLag = 100ms;
    /** Wait of events for the decision thread beyond which new requests are refused and the load balancer should send
     * new callers elsewhere: a request that waits longer misses most objectives. Applying a large configuration takes a
     * small VM 100 to 200 ms. */
    constexpr auto maxEventDelay = 250ms;
    /** Interval between reads of a stream: a third of the 120 ms within which an event has to reach its caller. */
    constexpr auto streamReadInterval = 40ms;
    /** Connections that wait to be accepted at most. At 1 ms a request on a tenth of a CPU core, they take half a
     * second: callers wait at most a second until their request is read, and a caller that finds this VM full uses
     * another VM. */
    constexpr int acceptBacklog = 64;
    constexpr double bytesPerMegabit = 125'000;
    /** Attempts in progress from which on the sockets are polled only every socketPollInterval. Each stream has an
     * event every 20 to 40 ms, so with this many streams packets of answers arrive faster than one in 4 ms. */
    constexpr std::size_t minPolledAttempts = 8;
    /** Interval at which the sockets are polled under load. What a request loses by this interval at each of its four
     * steps is a tenth of the shortest latency objective, 100 ms. */
    constexpr auto socketPollInterval = 4ms;
    /** Long poll of the log. A dead connection to the log has to be detected before a configuration is overdue, after
     * 2 s. */
    constexpr auto logPollWait = 1000ms;
    /** Timeout of one append to the log, and of one read beyond its long poll. */
    constexpr auto logCallTimeout = 800ms;
    /** Backoff of failed calls of the log: first and longest delay. */
    constexpr auto firstLogRetryDelay = 100ms;
    constexpr auto maxLogRetryDelay = 500ms;

    std::int64_t toMilliseconds(std::chrono::steady_clock::duration time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

    transport::Endpoint toEndpoint(const settings::Endpoint& endpoint)
    {
        return transport::parseEndpoint(endpoint.value()).value_or(transport::Endpoint {});
    }

    logging::JsonLogSettings toLogSettings(const settings::RouterSettings& settings)
    {
        logging::JsonLogSettings log;
        log.file = settings.logging.file;
        log.level = static_cast<logging::Level>(settings.logging.level);
        log.vm = settings.vm.peer.value();
        return log;
    }

    bool usesPlatformDialect(const settings::RouterSettings& settings)
    {
        return settings.dialect == settings::SpokenDialect::Platform;
    }

    std::shared_ptr<const transport::LogDialect> makeLogDialect(const settings::RouterSettings& settings)
    {
        if (usesPlatformDialect(settings)) {
            return std::make_shared<platform::StoreDialect>();
        }
        return std::make_shared<transport::NativeLogDialect>();
    }

    std::shared_ptr<const transport::ProxyDialect> makeProxyDialect(const settings::RouterSettings& settings)
    {
        return usesPlatformDialect(settings) ? std::make_shared<platform::HttpDialect>() : nullptr;
    }

    transport::StreamLimits toStreamLimits(const settings::RouterSettings& settings)
    {
        transport::StreamLimits limits;
        if (usesPlatformDialect(settings)) {
            limits.connectTime = backendConnectTimeout;
            limits.maxDecisionsWaiting = maxDecisionsWaiting;
            limits.maxLag = maxLag;
            limits.acceptBacklog = acceptBacklog;
            limits.linkBytesPerSecond = static_cast<std::uint64_t>(settings.vm.bandwidth * bytesPerMegabit);
            limits.readyEventDelay = maxEventDelay;
            limits.maxEventDelay = maxEventDelay;
            limits.cpuCores = settings.vm.cores;
            limits.readInterval = streamReadInterval;
            limits.gatherFrom = minPolledAttempts;
            limits.gatherTime = socketPollInterval;
        }
        return limits;
    }

    transport::LogClientSettings toLogClientSettings(const settings::RouterSettings& settings)
    {
        transport::LogClientSettings client;
        if (usesPlatformDialect(settings)) {
            client.pollWait = logPollWait;
            client.readLimit = logCallTimeout;
            client.appendLimit = logCallTimeout;
            client.retryFirst = firstLogRetryDelay;
            client.retryMost = maxLogRetryDelay;
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

    transport::BackendForwarders toForwarders(const settings::RouterSettings& settings)
    {
        transport::BackendForwarders forwarders;
        for (const auto& [backend, endpoint] : settings.backends.via) {
            forwarders.emplace(backend, toEndpoint(endpoint));
        }
        return forwarders;
    }

    transport::PlatformSettings toPlatformSettings(const settings::RouterSettings& settings)
    {
        transport::PlatformSettings platform;
        platform.vmList = toEndpoint(settings.vmListEndpoint);
        platform.forwarders = toForwarders(settings);
        return platform;
    }

} // namespace

RouterProcess::RouterProcess(const settings::RouterSettings& settings, std::uint64_t seed)
    : settings_(settings)
    , seed_(seed)
    , decisions_(transport::decisionRingCapacity)
    , jsonLog_(toLogSettings(settings))
    , metrics_(traffic_)
    , streams_(toStreamLimits(settings), decisions_, metrics_, jsonLog_, makeProxyDialect(settings))
    , log_(toLogClientSettings(settings), makeLogDialect(settings), decisions_, traffic_)
    , peers_(toPeerSettings(settings), decisions_, traffic_, jsonLog_)
    , platform_(toPlatformSettings(settings), decisions_, traffic_)
    , operators_(decisions_, operatorTimeout)
    , executor_({ streams_, log_, peers_, platform_, operators_, metrics_, jsonLog_ })
    , loop_(
          transport::drawIncarnation(),
          [this](Incarnation incarnation) -> std::unique_ptr<transport::Decider> {
              return std::make_unique<CoreDecider>(toCoreSettings(settings_, incarnation, seed_));
          },
          decisions_, executor_, usesPlatformDialect(settings) ? smallVmTick : transport::DecisionLoop::defaultTick)
{
}

Findings RouterProcess::listen()
{
    Findings findings;
    const auto check = [&](bool succeeded, const char* settingsKey, const std::string& reason) {
        if (!succeeded) {
            findings.push_back({ settingsKey, 0, 0, reason });
        }
    };
    check(jsonLog_.isOpen(), "logging.file", "cannot write to the log file " + settings_.logging.file);
    check(streams_.listen(toEndpoint(settings_.callersListen)), "callers.listen", streams_.lastReason());
    if (!settings_.readinessListen.value().empty()) {
        check(streams_.listenReadiness(toEndpoint(settings_.readinessListen)), "callers.readiness",
            streams_.lastReason());
    }
    if (!settings_.relayListen.value().empty()) {
        check(streams_.listenRelay(toEndpoint(settings_.relayListen)), "relay.listen", streams_.lastReason());
    }
    check(peers_.listen(), "vm.peer", peers_.lastReason());
    check(operators_.start(toEndpoint(settings_.operatorsListen)), "operators.listen", operators_.lastReason());
    check(metrics_.listen(toEndpoint(settings_.metricsListen)), "metrics.listen", metrics_.lastReason());
    return findings;
}

void RouterProcess::start()
{
    addReadings();
    streams_.setForwarders(toForwarders(settings_));
    jsonLog_.write(logging::Level::Info, "process_start",
        { { "seed", std::to_string(seed_) }, { "callers", settings_.callersListen.value() },
            { "domain", settings_.vm.domain.value() } });
    logUnusableSettings(settings_);
    metrics_.start();
    peers_.start();
    streams_.start();
    if (!usesPlatformDialect(settings_)) {
        platform_.start();
    }
    loop_.start();
}

void RouterProcess::reload(const settings::RouterSettings& changed)
{
    const auto level = changed.logging.level;
    const bool levelChanged = level != settings_.logging.level;
    settings_.logging.level = level;
    jsonLog_.setLevel(static_cast<logging::Level>(level));
    // A listen address or the log's address only changes together with the VM's address, and then the process is
    // restarted anyway.
    const bool addressChanged = changed.vm.peer != settings_.vm.peer || changed.callersListen != settings_.callersListen
        || changed.logEndpoints != settings_.logEndpoints;
    jsonLog_.write(logging::Level::Info, "reload",
        { { "outcome", std::string("in_force") }, { "level_changed", levelChanged },
            { "needs_restart", addressChanged } });
    logUnusableSettings(changed);
}

void RouterProcess::logUnusableSettings(const settings::RouterSettings& settings)
{
    for (const Finding& finding : settings.unusable) {
        jsonLog_.write(logging::Level::Warning, "setting_unusable", { { "finding", toText(finding) } });
    }
}

void RouterProcess::rejectReload(const Findings& findings)
{
    jsonLog_.write(
        logging::Level::Error, "reload", { { "outcome", std::string("rejected") }, { "findings", toText(findings) } });
}

void RouterProcess::stop()
{
    const auto part = std::chrono::duration_cast<std::chrono::milliseconds>(settings_.stopLimit) / stopParts;
    const auto until = std::chrono::steady_clock::now() + part * stopPartsInProgress;
    transport::TaggedEvent request { Incarnation {}, node::StopRequested {} };
    while (!decisions_.tryPush(request) && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(stopPollInterval);
    }
    while (!executor_.stopReady() && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(stopPollInterval);
    }
    jsonLog_.write(logging::Level::Info, "process_stop", { { "ready", executor_.stopReady() } });
    const auto begun = std::chrono::steady_clock::now();
    // The decision thread runs until the last replies have reached the callers.
    const auto drainTime = part * stopPartsDraining;
    const auto untilDrained = std::chrono::duration_cast<std::chrono::milliseconds>(until + drainTime - begun);
    streams_.stop({ std::min<std::chrono::milliseconds>(maxDrainTime, drainTime), untilDrained });
    const auto drained = std::chrono::steady_clock::now();
    loop_.stop();
    operators_.stop();
    platform_.stop();
    log_.stop();
    peers_.stop();
    metrics_.stop();
    jsonLog_.write(logging::Level::Info, "process_end",
        { { "drain_ms", toMilliseconds(drained - begun) },
            { "threads_ms", toMilliseconds(std::chrono::steady_clock::now() - drained) } });
}

void RouterProcess::addReadings()
{
    metrics_.addReading("ring_decisions_fill", "Events that wait for the decision thread",
        [this] { return static_cast<double>(decisions_.size()); });
    metrics_.addReading("ring_decisions_refused", "Events that found the ring of the decision thread full",
        [this] { return static_cast<double>(decisions_.refused()); });
    metrics_.addReading("event_delay_seconds", "How long events have waited for the decision thread recently", [this] {
        return std::chrono::duration<double>(decisions_.delay().recent(transport::steadyInstant())).count();
    });
    metrics_.addReading("cpu_share_used", "Used part of the VM's share of CPU time, 1 for all of it; 0: not known",
        [this] { return streams_.counts().cpuShare; });
    metrics_.addReading("caller_connections", "Connections of callers",
        [this] { return static_cast<double>(streams_.counts().connections); });
    metrics_.addReading("attempts_running", "Requests at backend servers",
        [this] { return static_cast<double>(streams_.counts().attempts); });
    metrics_.addReading("relays_running", "Connections to backend servers that are relayed for other routers",
        [this] { return static_cast<double>(streams_.counts().relays); });
    metrics_.addReading("foreign_lines", "Lines of backend servers that were not the answer asked for",
        [this] { return static_cast<double>(streams_.counts().foreignLines); });
    metrics_.addReading("backend_connects", "Connections made to backend servers",
        [this] { return static_cast<double>(streams_.counts().backendConnects); });
    metrics_.addReading("backend_reuses", "Requests over a kept connection",
        [this] { return static_cast<double>(streams_.counts().backendReuses); });
    metrics_.addReading("backend_idle_connections", "Idle connections to backend servers",
        [this] { return static_cast<double>(streams_.counts().idleBackends); });
    metrics_.addReading("endless_answers", "Answers of backend servers that were ended at a limit on size or time",
        [this] { return static_cast<double>(streams_.counts().endlessAnswers); });
    metrics_.addReading("held_bytes", "Bytes that are held for all connections of callers and backend servers",
        [this] { return static_cast<double>(streams_.counts().heldBytes); });
    metrics_.addReading("most_held_bytes", "Largest number of held bytes so far",
        [this] { return static_cast<double>(streams_.counts().mostHeldBytes); });
    metrics_.addReading("slow_callers_closed", "Callers that were disconnected because they did not read",
        [this] { return static_cast<double>(streams_.counts().slowCallersClosed); });
    metrics_.addReading("overloaded", "Requests refused because the router was full",
        [this] { return static_cast<double>(streams_.counts().overloaded); });
    metrics_.addReading("left_unread", "Requests whose callers had left before they were read",
        [this] { return static_cast<double>(streams_.counts().leftUnread); });
    metrics_.addReading("peer_messages_dropped", "Messages between routers that were dropped here",
        [this] { return static_cast<double>(peers_.dropped()); });
    metrics_.addReading("log_lines_dropped", "Log lines that a slow consumer cost",
        [this] { return static_cast<double>(jsonLog_.dropped()); });
    metrics_.addReading("incarnations_replaced", "Times that this process went on under a new incarnation",
        [this] { return static_cast<double>(loop_.replacements()); });
}

} // namespace swiftlift::router
