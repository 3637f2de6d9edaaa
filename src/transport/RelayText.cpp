#include "transport/RelayText.h"

#include <boost/beast/http.hpp>

#include "transport/HeadParsing.h"

namespace swiftlift::transport::internal {

namespace http = boost::beast::http;

namespace {

    constexpr std::string_view backendField = "Swiftlift-Backend";

} // namespace

std::string relayRequestText(const BackendId& backend, const BackendAddress& address)
{
    std::string text = "CONNECT " + address.value() + " HTTP/1.1\r\nHost: " + address.value() + "\r\n";
    text += std::string(backendField) + ": " + backend.value();
    return text += endOfRelayHead;
}

BackendId parseRelayRequest(std::string_view head)
{
    http::request_parser<http::empty_body> parser;
    if (!parseHead(parser, head) || parser.get().method() != http::verb::connect) {
        return {};
    }
    const auto backend = parser.get()[std::string(backendField)];
    return BackendId(std::string(backend));
}

std::string relayAnswerText(const RelayAnswer& answer)
{
    const std::string reason = answer.reason.empty() ? "Connection established" : answer.reason;
    return "HTTP/1.1 " + std::to_string(answer.status) + " " + reason + std::string(endOfRelayHead);
}

RelayAnswer parseRelayAnswer(std::string_view head)
{
    http::response_parser<http::empty_body> parser;
    parser.skip(true);
    if (!parseHead(parser, head)) {
        return { 0, "unreadable answer" };
    }
    return { static_cast<int>(parser.get().result_int()), std::string(parser.get().reason()) };
}

} // namespace swiftlift::transport::internal
