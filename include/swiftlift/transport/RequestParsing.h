#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "swiftlift/node/Action.h"
#include "swiftlift/node/Event.h"

namespace swiftlift::transport {

/** What a caller's HTTP request says, before it is understood. Headers that are absent are empty. */
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

/** `GET /v1/requests/{id}`: what became of a request. */
struct RequestQuestion {
    AccountId account;
    CallerRequestId id;
    std::string keyHash;
};

using ParsedRequest = std::variant<node::CallerRequest, RequestQuestion, node::Reply>;

/** @return The request, the question, or the refusal of what is neither. */
[[nodiscard]] ParsedRequest parseRequest(RawRequest raw);

/** @return Whether the text can be a caller's request id. */
[[nodiscard]] bool isRequestId(std::string_view text) noexcept;

} // namespace swiftlift::transport
