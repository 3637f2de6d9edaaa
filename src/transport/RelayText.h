#pragma once

#include <string>
#include <string_view>

#include "swiftlift/base/Ids.h"

namespace swiftlift::transport::internal {

// The exchange that precedes a relayed byte stream: an HTTP CONNECT request and its answer, without bodies.

inline constexpr std::string_view endOfRelayHead = "\r\n\r\n";

/** A relay's answer. */
struct RelayAnswer {
    static constexpr int connected = 200;
    /** Refused because of the backend server. */
    static constexpr int declined = 403;
    static constexpr int unreachable = 502;
    static constexpr int refused = 503;

    /** Other values count as `refused`. 0: unreadable. */
    int status = 0;
    std::string reason;
};

/** @return The request for a connection to the backend server. */
[[nodiscard]] std::string relayRequestText(const BackendId& backend, const BackendAddress& address);
/** @return The backend server that the request names; empty: the request is malformed. */
[[nodiscard]] BackendId parseRelayRequest(std::string_view head);

[[nodiscard]] std::string relayAnswerText(const RelayAnswer& answer);
[[nodiscard]] RelayAnswer parseRelayAnswer(std::string_view head);

} // namespace swiftlift::transport::internal
