#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace swiftlift::transport {

/** An IP address and a port; never a name, because nothing here resolves names. */
struct Endpoint {
    std::string ip;
    std::uint16_t port = 0;

    [[nodiscard]] bool operator==(const Endpoint&) const = default;
};

/**
 * @param text As `ip:port`, both numbers.
 * @return The endpoint; nothing when the text is none.
 */
[[nodiscard]] std::optional<Endpoint> parseEndpoint(std::string_view text);

/** @return `ip:port`. */
[[nodiscard]] std::string toText(const Endpoint& endpoint);

} // namespace swiftlift::transport
