#include "swiftlift/transport/RequestParsing.h"

#include <algorithm>
#include <cstdint>
#include <optional>

#include <nlohmann/json.hpp>

#include "swiftlift/base/Numbers.h"
#include "swiftlift/transport/CallerText.h"
#include "swiftlift/transport/Hashing.h"

namespace swiftlift::transport {

namespace {

    using Json = nlohmann::json;

    constexpr std::string_view servicesPath = "/v1/services/";
    constexpr std::string_view requestsSuffix = "/requests";
    constexpr std::string_view requestsPath = "/v1/requests/";
    constexpr std::string_view bearer = "Bearer ";
    constexpr std::size_t maxNameBytes = 64;
    constexpr std::int64_t maxDeadlineMs = 3'600'000;
    constexpr std::int64_t maxAttempt = 1'000'000;
    /** Limit against overflow of sums of token counts; far above the context size of any model. */
    constexpr std::int64_t maxTokens = 1'000'000'000;

    node::Reply badRequest(std::string detail) { return refusal(400, "bad_request", std::move(detail)); }

    std::optional<std::int64_t> parseNumber(std::string_view text, std::int64_t minimum, std::int64_t maximum)
    {
        const auto number = parseWhole<std::int64_t>(text);
        return number && *number >= minimum && *number <= maximum ? number : std::nullopt;
    }

    std::optional<bool> parseFlag(std::string_view text, bool absent)
    {
        if (text.empty()) {
            return absent;
        }
        if (text == "true") {
            return true;
        }
        if (text == "false") {
            return false;
        }
        return std::nullopt;
    }

    std::optional<node::Priority> parsePriority(std::string_view text)
    {
        if (text.empty() || text == "normal") {
            return node::Priority::Normal;
        }
        if (text == "interactive") {
            return node::Priority::Interactive;
        }
        if (text == "batch") {
            return node::Priority::Batch;
        }
        return std::nullopt;
    }

    /** @return The refusal if the headers are invalid; empty if they are valid. */
    std::optional<node::Reply> readIdentity(const RawRequest& raw, AccountId& account, std::string& hash)
    {
        if (raw.account.empty() || raw.account.size() > maxNameBytes) {
            return badRequest("Swiftlift-Account is missing or longer than 64 characters");
        }
        if (!raw.authorization.starts_with(bearer) || raw.authorization.size() == bearer.size()) {
            return refusal(401, "bad_key", "the Authorization header has to be: Bearer KEY");
        }
        account = AccountId(raw.account);
        hash = keyHash(std::string_view(raw.authorization).substr(bearer.size()));
        return std::nullopt;
    }

    std::optional<node::Reply> readOptions(const RawRequest& raw, node::CallerRequest& request)
    {
        if (!raw.attempt.empty()) {
            const auto attempt = parseNumber(raw.attempt, 1, maxAttempt);
            if (!attempt) {
                return badRequest("Swiftlift-Attempt has to be a number from 1 to 1000000");
            }
            request.attempt = static_cast<std::uint32_t>(*attempt);
        }
        if (!raw.deadline.empty()) {
            const auto deadline = parseNumber(raw.deadline, 1, maxDeadlineMs);
            if (!deadline) {
                return badRequest("Swiftlift-Deadline-Ms has to be a number from 1 to 3600000");
            }
            request.deadline = std::chrono::milliseconds(*deadline);
        }
        const auto idempotent = parseFlag(raw.idempotent, true);
        const auto stream = parseFlag(raw.stream, false);
        const auto priority = parsePriority(raw.priority);
        if (!idempotent || !stream) {
            return badRequest("Swiftlift-Idempotent and Swiftlift-Stream have to be true or false");
        }
        if (!priority) {
            return badRequest("Swiftlift-Priority has to be interactive, normal or batch");
        }
        request.idempotent = *idempotent;
        request.stream = *stream;
        request.priority = *priority;
        return std::nullopt;
    }

    /**
     * Reads the fields of a model service's body that cost and routing depend on. The body of a plain service is passed
     * through.
     */
    std::optional<node::Reply> readBody(RawRequest& raw, node::CallerRequest& request)
    {
        const Json json = Json::parse(raw.body, nullptr, false);
        if (json.is_discarded() || !json.is_object()) {
            return badRequest("the body has to be a JSON object");
        }
        if (const auto prompt = json.find("prompt"); prompt != json.end() && prompt->is_string()) {
            const auto& text = prompt->get_ref<const std::string&>();
            request.promptTokens = promptTokens(text);
            request.prefixHash = prefixHash(text);
        }
        if (const auto maximum = json.find("max_tokens"); maximum != json.end() && maximum->is_number_unsigned()) {
            const auto count = std::min<std::uint64_t>(maximum->get<std::uint64_t>(), maxTokens);
            request.maxAnswerTokens = Tokens(static_cast<std::int64_t>(count));
        }
        request.body = std::move(raw.body);
        return std::nullopt;
    }

    ParsedRequest parseServiceRequest(RawRequest& raw, std::string_view service)
    {
        node::CallerRequest request;
        if (service.empty() || service.size() > maxNameBytes) {
            return refusal(404, "unknown_service", "the service name is empty or longer than 64 characters");
        }
        if (!isRequestId(raw.requestId)) {
            return badRequest("Swiftlift-Request-Id has to be 1 to 64 characters of A-Z a-z 0-9 . _ -");
        }
        if (auto refused = readIdentity(raw, request.account, request.keyHash)) {
            return *refused;
        }
        request.service = ServiceName(std::string(service));
        request.id = CallerRequestId(raw.requestId);
        request.key = requestKey(request.account, request.id);
        if (auto refused = readOptions(raw, request)) {
            return *refused;
        }
        if (auto refused = readBody(raw, request)) {
            return *refused;
        }
        return request;
    }

    ParsedRequest parseStatusQuery(const RawRequest& raw, std::string_view id)
    {
        RequestStatusQuery query;
        if (!isRequestId(id)) {
            return badRequest("the request's id has to be 1 to 64 characters of A-Z a-z 0-9 . _ -");
        }
        if (auto refused = readIdentity(raw, query.account, query.keyHash)) {
            return *refused;
        }
        query.id = CallerRequestId(std::string(id));
        return query;
    }

    ParsedRequest parse(RawRequest& raw)
    {
        const std::string_view path = std::string_view(raw.target).substr(0, raw.target.find('?'));
        if (raw.method == "POST" && path.starts_with(servicesPath) && path.ends_with(requestsSuffix)
            && path.size() > servicesPath.size() + requestsSuffix.size()) {
            const auto length = path.size() - servicesPath.size() - requestsSuffix.size();
            return parseServiceRequest(raw, path.substr(servicesPath.size(), length));
        }
        if (raw.method == "GET" && path.starts_with(requestsPath)) {
            return parseStatusQuery(raw, path.substr(requestsPath.size()));
        }
        return badRequest("unknown path or method");
    }

} // namespace

bool isRequestId(std::string_view text) noexcept
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_'
            || c == '-';
    };
    return !text.empty() && text.size() <= maxNameBytes && std::ranges::all_of(text, allowed);
}

ParsedRequest parseRequest(RawRequest raw)
{
    ParsedRequest parsed = parse(raw);
    if (auto* refused = std::get_if<node::Reply>(&parsed)) {
        refused->outcome = outcomeBeforeCore(raw.attempt);
    }
    return parsed;
}

} // namespace swiftlift::transport
