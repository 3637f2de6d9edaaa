#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Clock.h"

namespace swiftlift::scenario {

/** Where a process listens. */
struct Address {
    std::string ip;
    std::uint16_t port = 0;

    /** @return `ip:port`. */
    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
    [[nodiscard]] auto operator<=>(const Address&) const = default;
};

struct HttpRequest {
    Address to;
    std::string method = "GET";
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string contentType = "application/json";
};

struct HttpReply {
    /** 0 when no reply came. */
    int status = 0;
    std::string body;
    std::map<std::string, std::string> headers;
    /** Why the exchange broke off; empty when the reply is whole. */
    std::string error;

    [[nodiscard]] bool ok() const noexcept { return error.empty() && status == 200; }
};

/** Takes the body as it comes. */
using BodyListener = std::function<void(std::string_view)>;

/**
 * Makes one exchange on a connection of its own and waits for its end.
 * @param request What to send.
 * @param bound The exchange is broken off after this long.
 * @param listener Told of each piece of the body.
 * @return What came; `error` says what went wrong.
 */
[[nodiscard]] HttpReply exchange(const HttpRequest& request, Milliseconds bound, const BodyListener& listener = {});

} // namespace swiftlift::scenario
