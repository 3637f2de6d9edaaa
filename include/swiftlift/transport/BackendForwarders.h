#pragma once

#include <map>
#include <optional>

#include "swiftlift/base/Ids.h"
#include "swiftlift/transport/Endpoint.h"

namespace swiftlift::transport {

/** Endpoints to connect to in place of backend servers' addresses. */
using BackendForwarders = std::map<BackendAddress, Endpoint>;

/** @return Where the backend server's address is reached; nullopt: the address is malformed. */
[[nodiscard]] inline std::optional<Endpoint> endpointOf(
    const BackendForwarders& forwarders, const BackendAddress& address)
{
    const auto forwarder = forwarders.find(address);
    return forwarder == forwarders.end() ? parseDestination(address.value()) : forwarder->second;
}

} // namespace swiftlift::transport
