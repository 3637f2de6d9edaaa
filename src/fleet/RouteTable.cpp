#include "swiftlift/fleet/RouteTable.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace swiftlift::fleet {

namespace {

    std::string lowerCase(std::string_view text)
    {
        std::string lower(text);
        std::ranges::transform(
            lower, lower.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
        return lower;
    }

    std::string_view withoutPort(std::string_view host) { return host.substr(0, host.find(':')); }

} // namespace

RouteTable::RouteTable(FleetConfig config)
    : config_(std::move(config))
{
    for (const Route& route : config_.routes) {
        hosts_[lowerCase(route.host)].push_back(&route);
    }
    for (auto& [host, routes] : hosts_) {
        std::ranges::stable_sort(
            routes, std::ranges::greater {}, [](const Route* route) { return route->pathPrefix.size(); });
    }
    for (const Account& account : config_.accounts) {
        for (const std::string& key : account.keys) {
            keys_.emplace(key, &account);
        }
    }
    for (const Service& service : config_.services) {
        services_.emplace(service.name, &service);
    }
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto found = hosts_.find(lowerCase(withoutPort(host)));
    if (found == hosts_.end()) {
        return nullptr;
    }
    const auto route = std::ranges::find_if(
        found->second, [&](const Route* candidate) { return path.starts_with(candidate->pathPrefix); });
    return route == found->second.end() ? nullptr : *route;
}

const Account* RouteTable::accountOf(const std::string& key) const
{
    const auto found = keys_.find(key);
    return found == keys_.end() ? nullptr : found->second;
}

const Service* RouteTable::service(const ServiceName& name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

ServiceName RouteTable::target(const Route& route, std::uint64_t draw)
{
    std::uint64_t totalWeight = 0;
    for (const Target& target : route.targets) {
        totalWeight += target.weight;
    }
    if (totalWeight == 0) {
        return {};
    }
    std::uint64_t remainder = draw % totalWeight;
    for (const Target& target : route.targets) {
        if (remainder < target.weight) {
            return target.service;
        }
        remainder -= target.weight;
    }
    return {};
}

} // namespace swiftlift::fleet
