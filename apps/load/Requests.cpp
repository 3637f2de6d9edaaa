#include "load/Requests.h"

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>

#include <nlohmann/json.hpp>

#include <iomanip>
#include <sstream>

namespace swiftlift::load {

namespace {

    namespace http = boost::beast::http;

    constexpr int httpVersion = 11;

    [[nodiscard]] HttpRequest makePost(
        const std::string& path, const Target& target, const Arrival& arrival, const Options& options)
    {
        HttpRequest request { http::verb::post, path, httpVersion };
        request.set(http::field::host, target.host + ':' + std::to_string(target.port));
        request.set(http::field::content_type, "application/json");
        request.body() = nlohmann::json {
            { "prompt", makePrompt(arrival, options.seed) }, { "max_tokens", options.maxTokens }
        }.dump();
        request.prepare_payload();
        return request;
    }

    [[nodiscard]] std::string hexKey(const Arrival& arrival, const Options& options)
    {
        std::ostringstream key;
        key << std::hex << std::setfill('0') << std::setw(16) << options.seed << std::setw(16) << arrival.pair;
        return key.str();
    }

} // namespace

HttpRequest routerRequest(const Arrival& arrival, const Options& options)
{
    const Account& account = options.accounts[arrival.account];
    HttpRequest request
        = makePost("/v1/services/" + options.service + "/requests", options.routers[arrival.target], arrival, options);
    request.set(http::field::authorization, "Bearer " + account.key);
    request.set("Swiftlift-Account", account.name);
    request.set("Swiftlift-Request-Id", "load-" + std::to_string(options.seed) + '-' + std::to_string(arrival.pair));
    request.set("Swiftlift-Deadline-Ms", std::to_string(options.deadline.count()));
    request.set("Swiftlift-Idempotent", arrival.idempotent ? "true" : "false");
    request.set("Swiftlift-Stream", options.stream ? "true" : "false");
    return request;
}

HttpRequest engineRequest(const Arrival& arrival, const Options& options)
{
    HttpRequest request = makePost("/generate", options.engines[arrival.target], arrival, options);
    request.set("X-Request-Key", hexKey(arrival, options));
    request.set("X-Attempt-Id", "direct-" + std::to_string(arrival.pair));
    request.set("X-Priority", "1");
    return request;
}

} // namespace swiftlift::load
