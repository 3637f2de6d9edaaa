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
enum class RoutingPolicy : std::uint8_t { Affinity, Random, RoundRobin, LeastLoad };

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/** Which VM this router is. */
struct VmSettings {
    /** Where other routers reach this one. */
    PeerAddress peer;
    FailureDomain domain;
    Region region;
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
};

struct LoggingSettings {
    /** `-`: standard error. */
    std::string file = "-";
    LogLevel level = LogLevel::Info;
};

/** Settings of one `swiftlift-router`; see docs/SETTINGS.md. */
struct RouterSettings {
    VmSettings vm;
    Endpoint callersListen;
    Endpoint operatorsListen;
    Endpoint metricsListen;
    /** The platform's log, in the order in which they are tried. */
    std::vector<Endpoint> logEndpoints;
    /** The platform's VM list. */
    Endpoint vmListEndpoint;
    PeerSettings peers;
    LedgerSettings ledger;
    RoutingPolicy routing = RoutingPolicy::Affinity;
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

/** @return `affinity`, `random`, `round_robin` or `least_load`. */
[[nodiscard]] std::string_view toText(RoutingPolicy policy) noexcept;

/** @return `debug`, `info`, `warning` or `error`. */
[[nodiscard]] std::string_view toText(LogLevel level) noexcept;

} // namespace swiftlift::settings
