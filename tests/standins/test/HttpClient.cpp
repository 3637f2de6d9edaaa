#include "HttpClient.h"

#include <array>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>

namespace swiftlift::standins {

namespace http = boost::beast::http;

namespace internal {

    constexpr int httpVersion = 11;
    constexpr std::uint64_t replyLimit = 1U << 30U;

    std::string hostOf(const Tcp::endpoint& server)
    {
        std::ostringstream text;
        text << server;
        return text.str();
    }

} // namespace internal

HttpClient::HttpClient(const Tcp::endpoint& server, std::optional<asio::ip::address> from)
    : server_(server)
    , from_(std::move(from))
    , socket_(context_)
{
}

bool HttpClient::check(const boost::system::error_code& error)
{
    if (error) {
        lastReason_ = error.message();
        close();
    }
    return !error;
}

bool HttpClient::connect()
{
    if (socket_.is_open()) {
        return true;
    }
    buffer_.clear();
    boost::system::error_code error;
    socket_.open(server_.protocol(), error);
    if (!error && from_) {
        socket_.bind(Tcp::endpoint(*from_, 0), error);
    }
    if (!error) {
        socket_.connect(server_, error);
    }
    if (!error) {
        socket_.set_option(Tcp::no_delay(true), error);
    }
    return check(error);
}

bool HttpClient::send(const HttpCall& call)
{
    if (!connect()) {
        return false;
    }
    const auto method = call.body ? http::verb::post : http::verb::get;
    http::request<http::string_body> request(method, call.target, internal::httpVersion);
    request.set(http::field::host, internal::hostOf(server_));
    for (const auto& [name, value] : call.headers) {
        request.set(name, value);
    }
    request.body() = call.body.value_or("");
    request.prepare_payload();
    boost::system::error_code error;
    http::write(socket_, request, error);
    return check(error);
}

std::optional<HttpReply> HttpClient::receive()
{
    http::response_parser<http::string_body> parser;
    parser.body_limit(internal::replyLimit);
    boost::system::error_code error;
    http::read(socket_, buffer_, parser, error);
    if (!check(error)) {
        return std::nullopt;
    }
    if (!parser.get().keep_alive()) {
        close();
    }
    return HttpReply { parser.get().result_int(), parser.get().body() };
}

std::string HttpClient::receiveSome()
{
    std::array<char, 4096> bytes {};
    boost::system::error_code error;
    const auto size = socket_.read_some(asio::buffer(bytes), error);
    return check(error) ? std::string(bytes.data(), size) : std::string();
}

std::optional<HttpReply> HttpClient::call(const HttpCall& call)
{
    if (!send(call)) {
        return std::nullopt;
    }
    return receive();
}

void HttpClient::close()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
}

} // namespace swiftlift::standins
