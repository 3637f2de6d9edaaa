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
    /** Above it a sum of token counts could overflow; far above any model's context. */
    constexpr std::int64_t maxTokens = 1'000'000'000;

    node::Reply badRequest(std::string detail) { return refusal(400, "bad_request", std::move(detail)); }

    std::optional<std::int64_t> parseNumber(std::string_view text, std::int64_t least, std::int64_t most)
    {
        const auto number = parseWhole<std::int64_t>(text);
        return number && *number >= least && *number <= most ? number : std::nullopt;
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

    /** @return What is wrong with the headers; nothing when they are fine. */
    std::optional<node::Reply> readIdentity(const RawRequest& raw, AccountId& account, std::string& hash)
    {
        if (raw.account.empty() || raw.account.size() > maxNameBytes) {
            return badRequest("Swiftlift-Account is missing or longer than 64 characters");
        }
        if (!raw.authorization.starts_with(bearer) || raw.authorization.size() == bearer.size()) {
            return refusal(401, "bad_key", "Authorization has to be: Bearer KEY");
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
                return badRequest("Swiftlift-Attempt has to be a number from 1");
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

    /** The body is a plain service's affair, but for the fields of a model service that cost and routing need. */
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
        if (const auto most = json.find("max_tokens"); most != json.end() && most->is_number_unsigned()) {
            const auto count = std::min<std::uint64_t>(most->get<std::uint64_t>(), maxTokens);
            request.maxAnswerTokens = Tokens(static_cast<std::int64_t>(count));
        }
        request.body = std::move(raw.body);
        return std::nullopt;
    }

    ParsedRequest parseCall(RawRequest& raw, std::string_view service)
    {
        node::CallerRequest request;
        if (service.empty() || service.size() > maxNameBytes) {
            return refusal(404, "unknown_service", "no service of that name");
        }
        if (!isRequestId(raw.requestId)) {
            return badRequest("Swiftlift-Request-Id has to be 1 to 64 characters of A-Z a-z 0-9 . _ -");
        }
        if (auto wrong = readIdentity(raw, request.account, request.keyHash)) {
            return *wrong;
        }
        request.service = ServiceName(std::string(service));
        request.id = CallerRequestId(raw.requestId);
        request.key = requestKey(request.account, request.id);
        if (auto wrong = readOptions(raw, request)) {
            return *wrong;
        }
        if (auto wrong = readBody(raw, request)) {
            return *wrong;
        }
        return request;
    }

    ParsedRequest parseQuestion(const RawRequest& raw, std::string_view id)
    {
        RequestQuestion question;
        if (!isRequestId(id)) {
            return badRequest("the request's id has to be 1 to 64 characters of A-Z a-z 0-9 . _ -");
        }
        if (auto wrong = readIdentity(raw, question.account, question.keyHash)) {
            return *wrong;
        }
        question.id = CallerRequestId(std::string(id));
        return question;
    }

    ParsedRequest parse(RawRequest& raw)
    {
        const std::string_view path = std::string_view(raw.target).substr(0, raw.target.find('?'));
        if (raw.method == "POST" && path.starts_with(servicesPath) && path.ends_with(requestsSuffix)
            && path.size() > servicesPath.size() + requestsSuffix.size()) {
            const auto length = path.size() - servicesPath.size() - requestsSuffix.size();
            return parseCall(raw, path.substr(servicesPath.size(), length));
        }
        if (raw.method == "GET" && path.starts_with(requestsPath)) {
            return parseQuestion(raw, path.substr(requestsPath.size()));
        }
        return badRequest("no such path or method");
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
        refused->outcome = outcomeUnseen(raw.attempt);
    }
    return parsed;
}

} // namespace swiftlift::transport
