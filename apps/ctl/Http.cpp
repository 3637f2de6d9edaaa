#include "ctl/Http.h"

#include <exception>

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

namespace swiftlift::ctl {

namespace {

    [[nodiscard]] cxxtools::Milliseconds toMilliseconds(Duration duration)
    {
        return cxxtools::Milliseconds(
            static_cast<double>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()));
    }

    [[nodiscard]] cxxtools::http::Request makeRequest(
        const std::string& method, const std::string& target, const std::string& body)
    {
        const auto question = target.find('?');
        cxxtools::http::Request request(target.substr(0, question));
        if (question != std::string::npos) {
            request.qparams(target.substr(question + 1));
        }
        request.method(method);
        request.setHeader("Connection", "close");
        request.body() << body;
        return request;
    }

} // namespace

Http::Http(Duration timeout)
    : timeout_(timeout)
{
}

std::optional<HttpReply> Http::get(const settings::Endpoint& endpoint, const std::string& target)
{
    return call(endpoint, "GET", target, {});
}

std::optional<HttpReply> Http::post(
    const settings::Endpoint& endpoint, const std::string& target, const std::string& body)
{
    return call(endpoint, "POST", target, body);
}

std::optional<HttpReply> Http::call(
    const settings::Endpoint& endpoint, const std::string& method, const std::string& target, const std::string& body)
{
    const auto colon = endpoint.value().rfind(':');
    const auto ip = endpoint.value().substr(0, colon);
    const auto port = static_cast<unsigned short>(std::stoi(endpoint.value().substr(colon + 1)));
    // The library reports a refused connection, a timeout and an invalid reply by exceptions. All of them count as
    // no reply, and the caller tries the next endpoint.
    try {
        cxxtools::http::Client client(ip, port);
        const auto request = makeRequest(method, target, body);
        const auto& header = client.execute(request, toMilliseconds(timeout_ + extra_), toMilliseconds(timeout_));
        const int status = static_cast<int>(header.httpReturnCode());
        client.readBody();
        return HttpReply { status, client.body() };
    } catch (const std::exception& error) {
        lastReason_ = error.what();
    }
    return std::nullopt;
}

} // namespace swiftlift::ctl
