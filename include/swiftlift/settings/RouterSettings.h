#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "swiftlift/base/Finding.h"
#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/settings/Endpoint.h"

namespace swiftlift::settings {

/** Policy by which routers hold prepaid tokens. */
enum class LedgerPolicy : std::uint8_t { Grants, StaticSplit, AppendPerRequest };

/** Order and amounts in which a router borrows tokens from its peers. */
enum class LoanOrder : std::uint8_t { Nearest, Demand };

/** Policy by which a router chooses a backend server. */
enum class RoutingPolicy : std::uint8_t { Affinity, Rendezvous, Predicted, Random, RoundRobin, LeastLoad };

/** Set of protocols that a router uses with callers, backend servers, operators and the log. */
enum class SpokenDialect : std::uint8_t {
    /** Protocols of this project; see docs/PROTOCOLS.md. */
    Native,
    /** Protocols of the users' platform; see docs/PLATFORM.md. */
    Platform,
};

/** Severity of log lines, in ascending order. */
enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/** Address, location and network link of the router's VM. */
struct VmSettings {
    /** Address at which other routers reach this router. */
    PeerAddress peer;
    FailureDomain domain;
    Region region;
    /** Bandwidth of the VM's network link in each direction, in Mbit/s; 0: unknown, treated as unlimited. */
    double bandwidth = 0;
    /** The VM's share of CPU time, as a number of cores; 0: not known. */
    double cores = 0;
};

/** How a router reaches other routers. */
struct PeerSettings {
    /** Addresses of routers to contact before the VM list has been read. */
    std::vector<PeerAddress> seeds;
    /** Maps addresses of peers to the endpoints to connect to instead, such as those of a forwarder. */
    std::map<PeerAddress, Endpoint> via;
};

/** How a router reaches backend servers. */
struct BackendSettings {
    /** Maps addresses of backend servers to the endpoints to connect to instead, such as those of a forwarder. */
    std::map<BackendAddress, Endpoint> via;
};

/** How routers hold tokens and write the ledger. */
struct LedgerSettings {
    /** Number of ledger shards, that is, of streams `ledger-0` and up. */
    std::uint32_t shards = 1;
    LedgerPolicy policy = LedgerPolicy::Grants;
    /** Only for policy `static_split`: number of equal parts that each budget is split into. */
    std::uint32_t splitWays = 8;
    /**
     * Only for policy `grants`: a router draws tokens when its free tokens of a budget cover the current demand for
     * less than this time.
     */
    Duration lowWatermark {};
    /**
     * Only for policy `grants`: a draw raises the free tokens to the demand of this time. 0: both watermarks follow
     * from the weightings of the services.
     */
    Duration highWatermark {};
    /** Only for policy `grants`: preallocation of all routers together, in percent of each budget. */
    std::uint32_t preallocationPercent = 0;
    /** Only for policy `grants`: how tokens are borrowed and lent. */
    LoanOrder loans = LoanOrder::Nearest;
    /** How long the platform's log retains records. */
    Duration retention = std::chrono::minutes(10);
    /** How long bills are collected into one record before it is appended; 0: grows with the number of routers. */
    Duration batchPeriod {};
};

/** Limit on the retries that all routers together send to a service within a time window. */
struct RetrySettings {
    /** Maximum number of retries per request for the service within the window. */
    double ratio = 0.1;
    /** Number of retries that the whole fleet may send within the window in addition to `ratio`. */
    double extra = 20;
    /** Length of the sliding window. */
    Duration window = std::chrono::seconds(10);
};

/** How routers tell each other their requests at backend servers. */
struct LoadExchangeSettings {
    /** Time between two reports of a router; 0: routers don't exchange loads. */
    Duration period {};
    /** Time after which a report no longer counts. */
    Duration lifetime = std::chrono::seconds(1);
    /** Number of routers from which on a fleet exchanges loads. */
    std::uint32_t minRouters = 24;
};

/** Settings of the router's log. */
struct LoggingSettings {
    /** Path of the log file; `-` stands for standard output. */
    std::string file = "-";
    /** Lowest severity that is written. */
    LogLevel level = LogLevel::Info;
};

/** Settings of one `swiftlift-router`; see docs/SETTINGS.md. */
struct RouterSettings {
    SpokenDialect dialect = SpokenDialect::Native;
    VmSettings vm;
    /** Listener for callers. */
    Endpoint callersListen;
    /**
     * Listener for the platform's readiness checks, which decide whether callers are sent to this VM; only for dialect
     * `platform`.
     */
    Endpoint readinessListen;
    /** Listener for other routers' connections to backend servers that they can't reach; empty: none are relayed. */
    Endpoint relayListen;
    /** Listener for operators. */
    Endpoint operatorsListen;
    /** Listener that serves the metrics. */
    Endpoint metricsListen;
    /** Endpoints of the platform's log, in the order in which they are tried. */
    std::vector<Endpoint> logEndpoints;
    /** Reads per second that the log serves for the whole fleet; 0: not limited. */
    double logReadRate = 0;
    /** Appends per second that the log serves for the whole fleet; 0: not limited. */
    double logAppendRate = 0;
    /** Endpoint of the platform's VM list. */
    Endpoint vmListEndpoint;
    PeerSettings peers;
    BackendSettings backends;
    LedgerSettings ledger;
    RoutingPolicy routing = RoutingPolicy::Affinity;
    RetrySettings retries;
    LoadExchangeSettings loads;
    /** Longest time that a planned stop waits for requests in progress. */
    Duration stopLimit = std::chrono::seconds(60);
    LoggingSettings logging;
    /** Seed of the router's random choices; empty: the process chooses a random seed and logs it. */
    std::optional<std::uint64_t> seed;
    /** Provided values that are absent or can't be used, in whose place others are in force; see docs/SETTINGS.md. */
    Findings unusable;
};

/**
 * @brief Reads and checks a router's settings. Never throws, whatever the content of the file.
 * @param file Path of the YAML file.
 * @param findings Receives a finding with line and column for each error.
 * @return The settings; empty if the file has errors.
 */
[[nodiscard]] std::optional<RouterSettings> readRouterSettings(const std::string& file, Findings& findings);

/**
 * @brief Parses and checks a router's settings. Never throws, whatever the text.
 * @param text The whole YAML document.
 * @param source Name of the document, for the findings.
 * @param findings Receives a finding with line and column for each error.
 * @return The settings; empty if the text has errors.
 */
[[nodiscard]] std::optional<RouterSettings> parseRouterSettings(
    std::string_view text, const std::string& source, Findings& findings);

/** @return Name of the policy in the settings: `grants`, `static_split` or `append_per_request`. */
[[nodiscard]] std::string_view toText(LedgerPolicy policy) noexcept;

/** @return Name of the order in the settings: `nearest` or `demand`. */
[[nodiscard]] std::string_view toText(LoanOrder order) noexcept;

/** @return Name of the policy in the settings: `affinity`, `rendezvous`, `predicted`, `random`, `round_robin` or
 * `least_load`. */
[[nodiscard]] std::string_view toText(RoutingPolicy policy) noexcept;

/** @return Name of the level in the settings: `debug`, `info`, `warning` or `error`. */
[[nodiscard]] std::string_view toText(LogLevel level) noexcept;

} // namespace swiftlift::settings
