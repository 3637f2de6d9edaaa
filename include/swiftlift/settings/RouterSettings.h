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

/** How a router holds prepaid tokens. */
enum class LedgerPolicy : std::uint8_t { Grants, StaticSplit, AppendPerRequest };

/** How a router chooses among backend servers. */
enum class RoutingPolicy : std::uint8_t { Affinity, Rendezvous, Random, RoundRobin, LeastLoad };

/** What a router speaks with callers, backend servers, operators and the log. */
enum class SpokenDialect : std::uint8_t {
    /** The project's own protocols, see docs/PROTOCOLS.md. */
    Native,
    /** Those of the users' platform, see docs/PLATFORM.md. */
    Platform,
};

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/** Which VM this router is. */
struct VmSettings {
    /** Where other routers reach this one. */
    PeerAddress peer;
    FailureDomain domain;
    Region region;
    /** What its link carries each way, in Mbit/s. 0: not known, and taken to be enough. */
    double bandwidth = 0;
};

struct PeerSettings {
    /** Routers to speak to before the VM list has been read. */
    std::vector<PeerAddress> seeds;
    /** Peers that are reached by way of another address, such as a forwarder. */
    std::map<PeerAddress, Endpoint> via;
};

struct LedgerSettings {
    /** Number of streams `ledger-0` and up. */
    std::uint32_t shards = 1;
    LedgerPolicy policy = LedgerPolicy::Grants;
    /** Of `static_split`: into how many equal parts a budget is split. */
    std::uint32_t splitWays = 8;
    /** Of `grants`: holdings are drawn when they last for less than this, and up to the other one. 0: the services say.
     */
    Duration lowWatermark {};
    Duration highWatermark {};
    /** Of `grants`: part of each budget that the routers together hold before there is demand. */
    std::uint32_t preallocationPercent = 0;
    /** How long the log keeps records. */
    Duration retention = std::chrono::minutes(10);
    /** How long bills wait for company before they are appended; 0: the longer, the more routers there are. */
    Duration batchPeriod {};
};

/** What all routers together may send to a service beyond each request's first time. */
struct RetrySettings {
    /** Of the requests for the service within the window. */
    double ratio = 0.1;
    /** Beyond that, by the whole fleet. */
    double extra = 20;
    Duration window = std::chrono::seconds(10);
};

struct LoggingSettings {
    /** `-`: standard output. */
    std::string file = "-";
    LogLevel level = LogLevel::Info;
};

/** Settings of one `swiftlift-router`; see docs/SETTINGS.md. */
struct RouterSettings {
    SpokenDialect dialect = SpokenDialect::Native;
    VmSettings vm;
    Endpoint callersListen;
    /** Where the platform asks whether this VM may be sent callers; of dialect `platform`. */
    Endpoint readinessListen;
    Endpoint operatorsListen;
    Endpoint metricsListen;
    /** The platform's log, in the order in which they are tried. */
    std::vector<Endpoint> logEndpoints;
    /** The platform's VM list. */
    Endpoint vmListEndpoint;
    PeerSettings peers;
    LedgerSettings ledger;
    RoutingPolicy routing = RoutingPolicy::Affinity;
    RetrySettings retries;
    /** How long a planned stop waits for requests in progress. */
    Duration stopLimit = std::chrono::seconds(60);
    LoggingSettings logging;
    /** Nothing: the process draws one at random and logs it. */
    std::optional<std::uint64_t> seed;
};

/**
 * @brief Reads and checks a router's settings. Never throws, whatever the file holds.
 * @param file Path of the YAML file.
 * @param findings Takes all that is wrong, each with line and column.
 * @return The settings; nothing when anything was found.
 */
[[nodiscard]] std::optional<RouterSettings> readRouterSettings(const std::string& file, Findings& findings);

/** @brief As readRouterSettings(), of a text in memory. */
[[nodiscard]] std::optional<RouterSettings> parseRouterSettings(
    std::string_view text, const std::string& source, Findings& findings);

/** @return `grants`, `static_split` or `append_per_request`. */
[[nodiscard]] std::string_view toText(LedgerPolicy policy) noexcept;

/** @return `affinity`, `rendezvous`, `random`, `round_robin` or `least_load`. */
[[nodiscard]] std::string_view toText(RoutingPolicy policy) noexcept;

/** @return `debug`, `info`, `warning` or `error`. */
[[nodiscard]] std::string_view toText(LogLevel level) noexcept;

} // namespace swiftlift::settings
