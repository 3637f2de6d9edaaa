#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace swiftlift::transport {

/** An IP address and a port. Host names are not supported: the router resolves none. */
struct Endpoint {
    std::string ip;
    std::uint16_t port = 0;

    [[nodiscard]] bool operator==(const Endpoint&) const = default;
};

/**
 * @param text `ip:port`, with an IPv4 address and a decimal port.
 * @return The endpoint; `nullopt` if the text is malformed.
 */
[[nodiscard]] std::optional<Endpoint> parseEndpoint(std::string_view text);

/**
 * @param text `ip:port`, as parseEndpoint() accepts it.
 * @return The endpoint if connections can be opened to it: the port is not 0, and the address is that of one host;
 * `nullopt` otherwise.
 */
[[nodiscard]] std::optional<Endpoint> parseDestination(std::string_view text);

/** @return The endpoint as `ip:port`. */
[[nodiscard]] std::string toText(const Endpoint& endpoint);

} // namespace swiftlift::transport
