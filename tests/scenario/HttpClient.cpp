#include "HttpClient.h"

#include <limits>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace swiftlift::scenario {

namespace internal {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = boost::beast::http;
    using boost::system::error_code;

    /** Asynchronous operations run one after the other, since Beast's blocking ones know no timeout. */
    class Connection {
    public:
        explicit Connection(Milliseconds bound) { stream_.expires_after(bound); }

        HttpReply exchange(const HttpRequest& request, const BodyListener& listener)
        {
            HttpReply reply;
            const error_code error = run(request, reply, listener);
            if (error)
                reply.error = error.message();
            return reply;
        }

    private:
        template <typename Start> error_code await(Start start)
        {
            error_code result;
            start([&result](error_code error, auto&&...) { result = error; });
            io_.restart();
            io_.run();
            return result;
        }

        error_code run(const HttpRequest& request, HttpReply& reply, const BodyListener& listener)
        {
            error_code error;
            const auto ip = asio::ip::make_address(request.to.ip, error);
            if (error)
                return error;
            const asio::ip::tcp::endpoint endpoint(ip, request.to.port);
            if (error = await([&](auto done) { stream_.async_connect(endpoint, done); }); error)
                return error;
            if (error = write(request); error)
                return error;
            return read(reply, listener);
        }

        error_code write(const HttpRequest& request)
        {
            constexpr unsigned http11 = 11;
            http::request<http::string_body> message(http::string_to_verb(request.method), request.target, http11);
            message.set(http::field::host, request.to.text());
            message.set(http::field::content_type, request.contentType);
            for (const auto& [name, value] : request.headers)
                message.set(name, value);
            message.keep_alive(false);
            message.body() = request.body;
            message.prepare_payload();
            return await([&](auto done) { http::async_write(stream_, message, done); });
        }

        error_code read(HttpReply& reply, const BodyListener& listener)
        {
            http::response_parser<http::string_body> parser;
            parser.body_limit(std::numeric_limits<std::uint64_t>::max());
            error_code error = await([&](auto done) { http::async_read_header(stream_, buffer_, parser, done); });
            if (error)
                return error;
            reply.status = parser.get().result_int();
            for (const auto& field : parser.get())
                reply.headers[std::string(field.name_string())] = std::string(field.value());
            std::size_t told = 0;
            while (!parser.is_done() && !error) {
                error = await([&](auto done) { http::async_read_some(stream_, buffer_, parser, done); });
                told = tell(parser.get().body(), told, listener);
            }
            tell(parser.get().body(), told, listener);
            reply.body = parser.get().body();
            return error;
        }

        static std::size_t tell(const std::string& body, std::size_t told, const BodyListener& listener)
        {
            if (listener && body.size() > told)
                listener(std::string_view(body).substr(told));
            return body.size();
        }

        asio::io_context io_ { 1 };
        beast::tcp_stream stream_ { io_ };
        beast::flat_buffer buffer_;
    };

} // namespace internal

HttpReply exchange(const HttpRequest& request, Milliseconds bound, const BodyListener& listener)
{
    return internal::Connection(bound).exchange(request, listener);
}

} // namespace swiftlift::scenario
