#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "swiftlift/node/Action.h"
#include "swiftlift/node/Event.h"

namespace swiftlift::transport {

/** Unparsed parts of a caller's HTTP request. Absent headers are empty. */
struct RawRequest {
    std::string method;
    std::string target;
    std::string authorization;
    std::string account;
    std::string requestId;
    std::string attempt;
    std::string deadline;
    std::string idempotent;
    std::string priority;
    std::string stream;
    std::string body;
};

/** Status query for a request: `GET /v1/requests/{id}`. */
struct RequestStatusQuery {
    AccountId account;
    CallerRequestId id;
    std::string keyHash;
};

/** A request, a status query, or the refusal of an invalid request. */
using ParsedRequest = std::variant<node::CallerRequest, RequestStatusQuery, node::Reply>;

/** @return The request or status query, or the refusal if `raw` is neither. */
[[nodiscard]] ParsedRequest parseRequest(RawRequest raw);

/** @return Whether the text is a valid caller's request id. */
[[nodiscard]] bool isRequestId(std::string_view text) noexcept;

} // namespace swiftlift::transport
