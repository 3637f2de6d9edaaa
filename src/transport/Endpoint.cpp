#include "swiftlift/transport/Endpoint.h"

#include "swiftlift/base/Numbers.h"

#include <boost/asio/ip/address.hpp>

namespace swiftlift::transport {

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view ip = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    const auto port = parseWhole<std::uint16_t>(digits);
    if (!port) {
        return std::nullopt;
    }
    boost::system::error_code error;
    boost::asio::ip::make_address_v4(std::string(ip), error);
    if (error) {
        return std::nullopt;
    }
    return Endpoint { std::string(ip), *port };
}

std::optional<Endpoint> parseDestination(std::string_view text)
{
    auto endpoint = parseEndpoint(text);
    if (!endpoint || endpoint->port == 0) {
        return std::nullopt;
    }
    const auto ip = boost::asio::ip::make_address_v4(endpoint->ip);
    const bool isOneHost = !ip.is_unspecified() && !ip.is_multicast() && ip != boost::asio::ip::address_v4::broadcast();
    return isOneHost ? endpoint : std::nullopt;
}

std::string toText(const Endpoint& endpoint) { return endpoint.ip + ":" + std::to_string(endpoint.port); }

} // namespace swiftlift::transport
