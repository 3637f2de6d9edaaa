#include "swiftlift/settings/RouterSettings.h"

#include <limits>
#include <set>

#include "settings/Checker.h"
#include "settings/Text.h"
#include "settings/Yaml.h"

namespace swiftlift::settings {

namespace {

    using internal::Checker;
    using internal::Need;
    using internal::Range;
    using std::chrono::hours;
    using std::chrono::seconds;

    constexpr std::size_t maxSettingsBytes = 256UL * 1024;
    constexpr Range<std::uint64_t> shardRange { 1, 1'024 };
    constexpr Range<std::uint64_t> splitRange { 1, 1'024 };
    constexpr Range<Duration> watermarkRange { seconds(0), hours(1) };
    constexpr Range<Duration> retentionRange { seconds(1), hours(1000) };
    constexpr Range<Duration> batchRange { seconds(0), seconds(10) };
    constexpr Range<std::uint64_t> wholePercent { 0, 100 };
    constexpr Range<double> bandwidthRange { 0, 1'000'000 };
    constexpr Range<double> ratioRange { 0, 10 };
    constexpr Range<double> extraRange { 0, 1'000'000 };
    constexpr Range<Duration> windowRange { seconds(1), hours(1) };
    constexpr Range<Duration> stopRange { seconds(1), hours(1) };
    constexpr Range<std::uint64_t> seedRange { 0, std::numeric_limits<std::uint64_t>::max() };

    void readVm(Checker& root, VmSettings& vm)
    {
        auto checker = root.section("vm", Need::Required);
        checker.address("peer", Need::Required, vm.peer);
        checker.name("domain", Need::Required, vm.domain);
        checker.name("region", Need::Required, vm.region);
        checker.fraction("bandwidth", Need::Optional, bandwidthRange, vm.bandwidth);
        checker.finish();
    }

    [[nodiscard]] Endpoint readListener(Checker& root, std::string_view key)
    {
        Endpoint listen;
        auto checker = root.section(key, Need::Required);
        checker.address("listen", Need::Required, listen);
        checker.finish();
        return listen;
    }

    void readListeners(Checker& root, RouterSettings& settings)
    {
        auto callers = root.section("callers", Need::Required);
        callers.address("listen", Need::Required, settings.callersListen);
        const Need readiness = settings.dialect == SpokenDialect::Platform ? Need::Required : Need::Optional;
        callers.address("readiness", readiness, settings.readinessListen);
        callers.finish();
        settings.operatorsListen = readListener(root, "operators");
        settings.metricsListen = readListener(root, "metrics");
        // Two listeners on one address: the second one would fail to bind, and only after the first had callers.
        std::set<std::string> seen { settings.vm.peer.value() };
        const std::pair<std::string_view, const Endpoint&> listeners[] { { "callers", settings.callersListen },
            { "operators", settings.operatorsListen }, { "metrics", settings.metricsListen } };
        for (const auto& [key, endpoint] : listeners) {
            if (!endpoint.value().empty() && !seen.insert(endpoint.value()).second) {
                root.report(key, "the address " + endpoint.value() + " is taken by another listener of this VM");
            }
        }
    }

    void readPlatform(Checker& root, RouterSettings& settings)
    {
        auto log = root.section("log", Need::Required);
        log.addresses("endpoints", Need::Required, settings.logEndpoints);
        log.finish();
        // Routers that speak the platform's dialect find each other through the log.
        const Need listNeeded = settings.dialect == SpokenDialect::Native ? Need::Required : Need::Optional;
        auto vmList = root.section("vm_list", listNeeded);
        vmList.address("endpoint", listNeeded, settings.vmListEndpoint);
        vmList.finish();
    }

    void readPeers(Checker& root, PeerSettings& peers)
    {
        auto checker = root.section("peers", Need::Optional);
        checker.addresses("seeds", Need::Optional, peers.seeds);
        for (const auto& [peer, endpoint] : checker.addressMap("via")) {
            peers.via.emplace(PeerAddress(peer), Endpoint(endpoint));
        }
        checker.finish();
    }

    void readLedger(Checker& root, LedgerSettings& ledger)
    {
        auto checker = root.section("ledger", Need::Optional);
        checker.unsignedNumber("shards", Need::Optional, shardRange, ledger.shards);
        checker.choice<LedgerPolicy>("policy", Need::Optional,
            { { "grants", LedgerPolicy::Grants }, { "static_split", LedgerPolicy::StaticSplit },
                { "append_per_request", LedgerPolicy::AppendPerRequest } },
            ledger.policy);
        checker.unsignedNumber("split_ways", Need::Optional, splitRange, ledger.splitWays);
        checker.duration("low_watermark", Need::Optional, watermarkRange, ledger.lowWatermark);
        checker.duration("high_watermark", Need::Optional, watermarkRange, ledger.highWatermark);
        checker.percent("stock", Need::Optional, wholePercent, ledger.preallocationPercent);
        checker.duration("retention", Need::Optional, retentionRange, ledger.retention);
        checker.duration("batch_period", Need::Optional, batchRange, ledger.batchPeriod);
        checker.finish();
        if (checker.has("split_ways") && ledger.policy != LedgerPolicy::StaticSplit) {
            checker.report("split_ways", "has a meaning only with policy static_split");
        }
    }

    void readRouting(Checker& root, RoutingPolicy& routing)
    {
        auto checker = root.section("routing", Need::Optional);
        checker.choice<RoutingPolicy>("policy", Need::Optional,
            { { "affinity", RoutingPolicy::Affinity }, { "rendezvous", RoutingPolicy::Rendezvous },
                { "random", RoutingPolicy::Random }, { "round_robin", RoutingPolicy::RoundRobin },
                { "least_load", RoutingPolicy::LeastLoad } },
            routing);
        checker.finish();
    }

    void readRetries(Checker& root, RetrySettings& retries)
    {
        auto checker = root.section("retries", Need::Optional);
        checker.fraction("ratio", Need::Optional, ratioRange, retries.ratio);
        checker.fraction("extra", Need::Optional, extraRange, retries.extra);
        checker.duration("window", Need::Optional, windowRange, retries.window);
        checker.finish();
    }

    void readDialect(Checker& root, SpokenDialect& dialect)
    {
        root.choice<SpokenDialect>("dialect", Need::Optional,
            { { "native", SpokenDialect::Native }, { "platform", SpokenDialect::Platform } }, dialect);
    }

    void readStop(Checker& root, Duration& limit)
    {
        auto checker = root.section("stop", Need::Optional);
        checker.duration("limit", Need::Optional, stopRange, limit);
        checker.finish();
    }

    void readLogging(Checker& root, LoggingSettings& logging)
    {
        auto checker = root.section("logging", Need::Optional);
        checker.text("file", Need::Optional, logging.file);
        checker.choice<LogLevel>("level", Need::Optional,
            { { "debug", LogLevel::Debug }, { "info", LogLevel::Info }, { "warning", LogLevel::Warning },
                { "error", LogLevel::Error } },
            logging.level);
        checker.finish();
        if (logging.file.empty()) {
            checker.report("file", "expected a path, or - for standard output");
        }
    }

    void readSeed(Checker& root, std::optional<std::uint64_t>& seed)
    {
        std::uint64_t number = 0;
        root.unsignedNumber("seed", Need::Optional, seedRange, number);
        if (root.has("seed")) {
            seed = number;
        }
    }

    [[nodiscard]] RouterSettings readSettings(Checker& root)
    {
        RouterSettings settings;
        readDialect(root, settings.dialect);
        readVm(root, settings.vm);
        readListeners(root, settings);
        readPlatform(root, settings);
        readPeers(root, settings.peers);
        readLedger(root, settings.ledger);
        readRouting(root, settings.routing);
        readRetries(root, settings.retries);
        readStop(root, settings.stopLimit);
        readLogging(root, settings.logging);
        readSeed(root, settings.seed);
        root.finish();
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

std::string_view toText(RoutingPolicy policy) noexcept
{
    switch (policy) {
    case RoutingPolicy::Affinity:
        return "affinity";
    case RoutingPolicy::Rendezvous:
        return "rendezvous";
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
