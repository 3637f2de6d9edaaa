#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "swiftlift/fleet/FleetConfig.h"

namespace swiftlift::fleet {

/** @brief One configuration, arranged for looking requests up. Never changes: a new configuration is a new table. */
class RouteTable {
public:
    explicit RouteTable(FleetConfig config);
    RouteTable(const RouteTable&) = delete;
    RouteTable& operator=(const RouteTable&) = delete;

    /**
     * @param host As the caller names it; its port, if any, and its case don't matter.
     * @param path Without its query.
     * @return The route of that host whose prefix begins the path and is longest; null when there is none.
     */
    [[nodiscard]] const Route* find(std::string_view host, std::string_view path) const;

    /** @return The account that holds the key; null when none does. */
    [[nodiscard]] const Account* accountOf(const std::string& key) const;

    /** @return The service; null when the configuration has none of that name. */
    [[nodiscard]] const Service* service(const ServiceName& name) const;

    /**
     * @param route One of this table's.
     * @param draw Any number; equal draws give equal targets.
     * @return One of the route's services, by their weights; an empty name when it has none.
     */
    [[nodiscard]] static ServiceName target(const Route& route, std::uint64_t draw);

    /** @return Whether callers need keys at all. */
    [[nodiscard]] bool requiresKeys() const noexcept { return !config_.accounts.empty(); }

    [[nodiscard]] const FleetConfig& config() const noexcept { return config_; }

private:
    FleetConfig config_;
    /** By host in lower case; the longest prefix first. */
    std::map<std::string, std::vector<const Route*>, std::less<>> hosts_;
    std::unordered_map<std::string, const Account*> keys_;
    std::map<ServiceName, const Service*> services_;
};

} // namespace swiftlift::fleet
