#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "swiftlift/fleet/FleetConfig.h"

namespace swiftlift::fleet {

/** @brief Immutable index of one fleet configuration by host, path, key and service. */
class RouteTable {
public:
    /** @param config The configuration to index. */
    explicit RouteTable(FleetConfig config);
    RouteTable(const RouteTable&) = delete;
    RouteTable& operator=(const RouteTable&) = delete;

    /**
     * @param host Host as given by the caller; a port and the letter case are ignored.
     * @param path Path without the query.
     * @return The host's route with the longest path prefix that matches; null when no route matches.
     */
    [[nodiscard]] const Route* find(std::string_view host, std::string_view path) const;

    /** @return The account with the API key; null when no account has the key. */
    [[nodiscard]] const Account* accountOf(const std::string& key) const;

    /** @return The service of that name; null when the configuration has no such service. */
    [[nodiscard]] const Service* service(const ServiceName& name) const;

    /**
     * @brief Selects one of the route's services in proportion to their weights.
     * @param route The route to select from.
     * @param draw Number that determines the selection; uniformly distributed numbers give the weighted split.
     * @return The selected service; an empty name when the route has no service of positive weight.
     */
    [[nodiscard]] static ServiceName target(const Route& route, std::uint64_t draw);

    /** @return True when the configuration has accounts, so that callers need a key on routes that are not open. */
    [[nodiscard]] bool requiresKeys() const noexcept { return !config_.accounts.empty(); }

    /** @return The indexed configuration. */
    [[nodiscard]] const FleetConfig& config() const noexcept { return config_; }

private:
    FleetConfig config_;
    /** Routes by lower-case host; the longest prefix first. */
    std::map<std::string, std::vector<const Route*>, std::less<>> hosts_;
    std::unordered_map<std::string, const Account*> keys_;
    std::map<ServiceName, const Service*> services_;
};

} // namespace swiftlift::fleet
