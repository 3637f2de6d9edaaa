#include "swiftlift/settings/RouterSettings.h"

#include <array>
#include <limits>
#include <set>

#include "settings/Checker.h"
#include "settings/Text.h"
#include "settings/Yaml.h"

namespace swiftlift::settings {

namespace {

    using internal::Checker;
    using internal::Presence;
    using internal::Range;
    using std::chrono::hours;
    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr std::size_t maxSettingsBytes = 256UL * 1024;
    constexpr Range<std::uint64_t> shardRange { 1, 1'024 };
    constexpr Range<std::uint64_t> splitRange { 1, 1'024 };
    constexpr Range<Duration> watermarkRange { seconds(0), hours(1) };
    constexpr Range<Duration> retentionRange { milliseconds(100), hours(1000) };
    constexpr Range<Duration> batchRange { seconds(0), seconds(10) };
    constexpr Range<std::uint64_t> wholePercent { 0, 100 };
    constexpr Range<std::uint64_t> portOffsetRange { 0, 1'000 };
    constexpr Range<double> bandwidthRange { 0, 1'000'000 };
    constexpr Range<double> coresRange { 0, 10'000 };
    constexpr Range<double> ratioRange { 0, 10 };
    constexpr Range<double> callRateRange { 0, 1'000'000 };
    constexpr Range<double> extraRange { 0, 1'000'000 };
    constexpr Range<Duration> windowRange { milliseconds(100), hours(1) };
    constexpr Range<Duration> stopRange { milliseconds(100), hours(1) };
    constexpr Range<Duration> loadPeriodRange { seconds(0), seconds(10) };
    /** With shorter periods, reports would take a noticeable part of a small VM's CPU time. */
    constexpr Duration minLoadPeriod = milliseconds(50);
    constexpr Range<Duration> loadLifetimeRange { milliseconds(100), hours(1) };
    /** One report in a row may be lost without the load that it states being forgotten. */
    constexpr int minPeriodsPerLifetime = 2;
    constexpr Range<std::uint64_t> minRoutersRange { 1, 10'000 };
    constexpr Range<std::uint64_t> seedRange { 0, std::numeric_limits<std::uint64_t>::max() };

    /** Keys whose values may come from a platform: a router can run without any of them. */
    constexpr std::array<std::string_view, 11> providable { "vm.region", "vm.bandwidth", "vm.cores", "log.read_rate",
        "log.append_rate", "peers.seeds", "ledger.retention", "retries.ratio", "retries.extra", "retries.window",
        "stop.limit" };

    [[nodiscard]] internal::ProvidedKeys readProvidedKeys(Checker& root)
    {
        internal::ProvidedKeys provided;
        for (auto& path : root.words("provided", Presence::Optional, providable)) {
            provided.paths.insert(std::move(path));
        }
        return provided;
    }

    void readVm(Checker& root, VmSettings& vm)
    {
        auto checker = root.section("vm", Presence::Required);
        checker.address("peer", Presence::Required, vm.peer);
        checker.name("domain", Presence::Required, vm.domain);
        checker.name("region", Presence::Required, vm.region);
        checker.fraction("bandwidth", Presence::Optional, bandwidthRange, vm.bandwidth);
        checker.fraction("cores", Presence::Optional, coresRange, vm.cores);
        checker.reportUnknownKeys();
    }

    /** @return The address with the offset added to its port. */
    [[nodiscard]] Endpoint withPortOffset(const Endpoint& address, std::uint64_t offset)
    {
        const auto colon = address.value().rfind(':');
        if (offset == 0 || colon == std::string::npos) {
            return address;
        }
        const std::uint64_t port = std::stoull(address.value().substr(colon + 1)) + offset;
        return Endpoint(address.value().substr(0, colon + 1) + std::to_string(port));
    }

    [[nodiscard]] Endpoint readListener(Checker& root, std::string_view key)
    {
        Endpoint listen;
        auto checker = root.section(key, Presence::Required);
        checker.address("listen", Presence::Required, listen);
        checker.reportUnknownKeys();
        return listen;
    }

    void readListeners(Checker& root, RouterSettings& settings)
    {
        auto callers = root.section("callers", Presence::Required);
        callers.address("listen", Presence::Required, settings.callersListen);
        const Presence readinessPresence
            = settings.dialect == SpokenDialect::Platform ? Presence::Required : Presence::Optional;
        callers.address("readiness", readinessPresence, settings.readinessListen);
        callers.reportUnknownKeys();
        auto relay = root.section("relay", Presence::Optional);
        std::uint64_t portOffset = 0;
        relay.address("listen", Presence::Optional, settings.relayListen);
        relay.unsignedNumber("port_offset", Presence::Optional, portOffsetRange, portOffset);
        relay.reportUnknownKeys();
        settings.relayListen = withPortOffset(settings.relayListen, portOffset);
        settings.operatorsListen = readListener(root, "operators");
        settings.metricsListen = readListener(root, "metrics");
        // If two listeners had the same address, the second listener would fail to bind after the first already had
        // callers.
        std::set<std::string> seen { settings.vm.peer.value() };
        const std::pair<std::string_view, const Endpoint&> listeners[] { { "callers", settings.callersListen },
            { "relay", settings.relayListen }, { "operators", settings.operatorsListen },
            { "metrics", settings.metricsListen } };
        for (const auto& [key, endpoint] : listeners) {
            if (!endpoint.value().empty() && !seen.insert(endpoint.value()).second) {
                root.report(key, "the address " + endpoint.value() + " is taken by another listener of this VM");
            }
        }
    }

    void readPlatform(Checker& root, RouterSettings& settings)
    {
        auto log = root.section("log", Presence::Required);
        log.addresses("endpoints", Presence::Required, settings.logEndpoints);
        log.fraction("read_rate", Presence::Optional, callRateRange, settings.logReadRate);
        log.fraction("append_rate", Presence::Optional, callRateRange, settings.logAppendRate);
        log.reportUnknownKeys();
        // With dialect `platform`, routers discover each other through the log and need no VM list.
        const Presence vmListPresence
            = settings.dialect == SpokenDialect::Native ? Presence::Required : Presence::Optional;
        auto vmList = root.section("vm_list", vmListPresence);
        vmList.address("endpoint", vmListPresence, settings.vmListEndpoint);
        vmList.reportUnknownKeys();
    }

    void readPeers(Checker& root, PeerSettings& peers)
    {
        auto checker = root.section("peers", Presence::Optional);
        checker.addresses("seeds", Presence::Optional, peers.seeds);
        for (const auto& [peer, endpoint] : checker.addressMap("via")) {
            peers.via.emplace(PeerAddress(peer), Endpoint(endpoint));
        }
        checker.reportUnknownKeys();
    }

    void readBackends(Checker& root, BackendSettings& backends)
    {
        auto checker = root.section("backends", Presence::Optional);
        for (const auto& [backend, endpoint] : checker.addressMap("via")) {
            backends.via.emplace(BackendAddress(backend), Endpoint(endpoint));
        }
        checker.reportUnknownKeys();
    }

    void readLedger(Checker& root, LedgerSettings& ledger)
    {
        auto checker = root.section("ledger", Presence::Optional);
        checker.unsignedNumber("shards", Presence::Optional, shardRange, ledger.shards);
        checker.choice<LedgerPolicy>("policy", Presence::Optional,
            { { "grants", LedgerPolicy::Grants }, { "static_split", LedgerPolicy::StaticSplit },
                { "append_per_request", LedgerPolicy::AppendPerRequest } },
            ledger.policy);
        checker.unsignedNumber("split_ways", Presence::Optional, splitRange, ledger.splitWays);
        checker.duration("low_watermark", Presence::Optional, watermarkRange, ledger.lowWatermark);
        checker.duration("high_watermark", Presence::Optional, watermarkRange, ledger.highWatermark);
        checker.percent("stock", Presence::Optional, wholePercent, ledger.preallocationPercent);
        checker.choice<LoanOrder>("loans", Presence::Optional,
            { { "nearest", LoanOrder::Nearest }, { "demand", LoanOrder::Demand } }, ledger.loans);
        checker.duration("retention", Presence::Optional, retentionRange, ledger.retention);
        checker.duration("batch_period", Presence::Optional, batchRange, ledger.batchPeriod);
        checker.reportUnknownKeys();
        if (checker.hasKey("split_ways") && ledger.policy != LedgerPolicy::StaticSplit) {
            checker.report("split_ways", "has a meaning only with policy static_split");
        }
        if (checker.hasKey("loans") && ledger.policy != LedgerPolicy::Grants) {
            checker.report("loans", "has a meaning only with policy grants");
        }
    }

    void readRouting(Checker& root, RoutingPolicy& routing)
    {
        auto checker = root.section("routing", Presence::Optional);
        checker.choice<RoutingPolicy>("policy", Presence::Optional,
            { { "affinity", RoutingPolicy::Affinity }, { "rendezvous", RoutingPolicy::Rendezvous },
                { "predicted", RoutingPolicy::Predicted }, { "random", RoutingPolicy::Random },
                { "round_robin", RoutingPolicy::RoundRobin }, { "least_load", RoutingPolicy::LeastLoad } },
            routing);
        checker.reportUnknownKeys();
    }

    void readRetries(Checker& root, RetrySettings& retries)
    {
        auto checker = root.section("retries", Presence::Optional);
        checker.fraction("ratio", Presence::Optional, ratioRange, retries.ratio);
        checker.fraction("extra", Presence::Optional, extraRange, retries.extra);
        checker.duration("window", Presence::Optional, windowRange, retries.window);
        checker.reportUnknownKeys();
        if (checker.isRejected("ratio") || checker.isRejected("extra") || checker.isRejected("window")) {
            // There is a bound, which the defaults could exceed.
            retries.ratio = 0;
            retries.extra = 0;
        }
    }

    void readLoads(Checker& root, LoadExchangeSettings& loads)
    {
        auto checker = root.section("loads", Presence::Optional);
        checker.duration("period", Presence::Optional, loadPeriodRange, loads.period);
        checker.duration("lifetime", Presence::Optional, loadLifetimeRange, loads.lifetime);
        checker.unsignedNumber("min_routers", Presence::Optional, minRoutersRange, loads.minRouters);
        checker.reportUnknownKeys();
        if (loads.period > Duration::zero() && loads.period < minLoadPeriod) {
            checker.report("period", "expected 0s (off) or at least 50ms");
        }
        if (loads.lifetime < minPeriodsPerLifetime * loads.period) {
            checker.report("lifetime", "has to be at least twice the period, as reports may get lost");
        }
    }

    void readDialect(Checker& root, SpokenDialect& dialect)
    {
        root.choice<SpokenDialect>("dialect", Presence::Optional,
            { { "native", SpokenDialect::Native }, { "platform", SpokenDialect::Platform } }, dialect);
    }

    void readStop(Checker& root, Duration& limit)
    {
        auto checker = root.section("stop", Presence::Optional);
        checker.duration("limit", Presence::Optional, stopRange, limit);
        checker.reportUnknownKeys();
    }

    void readLogging(Checker& root, LoggingSettings& logging)
    {
        auto checker = root.section("logging", Presence::Optional);
        checker.text("file", Presence::Optional, logging.file);
        checker.choice<LogLevel>("level", Presence::Optional,
            { { "debug", LogLevel::Debug }, { "info", LogLevel::Info }, { "warning", LogLevel::Warning },
                { "error", LogLevel::Error } },
            logging.level);
        checker.reportUnknownKeys();
        if (logging.file.empty()) {
            checker.report("file", "expected a path, or - for standard output");
        }
    }

    void readSeed(Checker& root, std::optional<std::uint64_t>& seed)
    {
        std::uint64_t number = 0;
        root.unsignedNumber("seed", Presence::Optional, seedRange, number);
        if (root.hasKey("seed")) {
            seed = number;
        }
    }

    [[nodiscard]] RouterSettings readSettings(Checker& root)
    {
        RouterSettings settings;
        internal::ProvidedKeys provided = readProvidedKeys(root);
        root.tolerate(provided);
        readDialect(root, settings.dialect);
        readVm(root, settings.vm);
        readListeners(root, settings);
        readPlatform(root, settings);
        readPeers(root, settings.peers);
        readBackends(root, settings.backends);
        readLedger(root, settings.ledger);
        readRouting(root, settings.routing);
        readRetries(root, settings.retries);
        readLoads(root, settings.loads);
        readStop(root, settings.stopLimit);
        readLogging(root, settings.logging);
        readSeed(root, settings.seed);
        root.reportUnknownKeys();
        internal::sortFindings(provided.findings, 0);
        settings.unusable = std::move(provided.findings);
        return settings;
    }

} // namespace

std::optional<RouterSettings> parseRouterSettings(std::string_view text, const std::string& source, Findings& findings)
{
    return internal::parseChecked(
        text, source, maxSettingsBytes, findings, [](Checker& root) { return readSettings(root); });
}

std::optional<RouterSettings> readRouterSettings(const std::string& file, Findings& findings)
{
    const auto text = internal::readFile(file, maxSettingsBytes, findings);
    return text ? parseRouterSettings(*text, file, findings) : std::nullopt;
}

std::string_view toText(LedgerPolicy policy) noexcept
{
    switch (policy) {
    case LedgerPolicy::Grants:
        return "grants";
    case LedgerPolicy::StaticSplit:
        return "static_split";
    case LedgerPolicy::AppendPerRequest:
        return "append_per_request";
    }
    return "grants";
}

std::string_view toText(LoanOrder order) noexcept
{
    switch (order) {
    case LoanOrder::Nearest:
        return "nearest";
    case LoanOrder::Demand:
        return "demand";
    }
    return "nearest";
}

std::string_view toText(RoutingPolicy policy) noexcept
{
    switch (policy) {
    case RoutingPolicy::Affinity:
        return "affinity";
    case RoutingPolicy::Rendezvous:
        return "rendezvous";
    case RoutingPolicy::Predicted:
        return "predicted";
    case RoutingPolicy::Random:
        return "random";
    case RoutingPolicy::RoundRobin:
        return "round_robin";
    case RoutingPolicy::LeastLoad:
        return "least_load";
    }
    return "affinity";
}

std::string_view toText(LogLevel level) noexcept
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "info";
}

} // namespace swiftlift::settings
