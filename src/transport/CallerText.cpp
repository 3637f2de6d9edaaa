#include "swiftlift/transport/CallerText.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace swiftlift::transport {

namespace {

    using Json = nlohmann::ordered_json;

    std::string toText(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

} // namespace

std::string answeredText(std::string_view requestId, const CollectedAnswer& answer, Tokens billed, bool withText)
{
    Json json;
    json["outcome"] = "answered";
    json["request"] = requestId;
    if (withText) {
        json["text"] = answer.text;
    }
    json["prompt_tokens"] = answer.promptTokens.value();
    json["answer_tokens"] = answer.answerTokens.value();
    json["billed_tokens"] = billed.value();
    return toText(json);
}

std::string notAnsweredText(std::string_view requestId, const node::Reply& reply)
{
    Json json;
    if (reply.outcome == node::Outcome::NotRun) {
        json["outcome"] = "refused";
        json["run"] = "not_run";
    } else {
        json["outcome"] = "unknown";
    }
    json["request"] = requestId;
    json["reason"] = reply.reason;
    json["detail"] = reply.detail;
    if (reply.retryAfter) {
        json["retry_after_ms"] = std::chrono::ceil<std::chrono::milliseconds>(*reply.retryAfter).count();
    }
    return toText(json);
}

std::string tokenLine(std::string_view token, std::int64_t index)
{
    Json json;
    json["token"] = token;
    json["index"] = index;
    return toText(json) + "\n";
}

node::Reply refusal(int status, std::string reason, std::string detail)
{
    node::Reply reply;
    reply.outcome = node::Outcome::NotRun;
    reply.status = status;
    reply.reason = std::move(reason);
    reply.detail = std::move(detail);
    return reply;
}

node::Reply overloadedRefusal(std::string detail)
{
    constexpr int unavailable = 503;
    constexpr Duration retryAfter = std::chrono::seconds(1);
    node::Reply reply = refusal(unavailable, "overloaded", std::move(detail));
    reply.retryAfter = retryAfter;
    return reply;
}

// A later attempt may be refused here although the first one ran at another router and only its answer was lost. The
// outcome "not run" would then be wrong: the caller would get a refusal of a request that was billed.
node::Outcome outcomeBeforeCore(std::string_view attempt)
{
    const bool first = attempt.empty() || attempt == "1";
    return first ? node::Outcome::NotRun : node::Outcome::Unknown;
}

} // namespace swiftlift::transport
