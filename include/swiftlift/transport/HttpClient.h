#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "swiftlift/transport/Endpoint.h"

namespace swiftlift::transport {

/** An HTTP request. */
struct HttpRequest {
    /** `GET` or `POST`. */
    std::string method = "GET";
    std::string target;
    std::string contentType;
    std::string body;
};

/** An HTTP response. */
struct HttpResponse {
    int status = 0;
    std::string body;
};

/**
 * @brief Blocking HTTP client with one timeout for the whole of each call. Not thread-safe, apart from cancel().
 *
 * Reuses its connection. A call that fails because the reused connection has been closed is not retried here: the
 * request may have taken effect, which only the caller can determine.
 */
class HttpClient {
public:
    explicit HttpClient(Endpoint endpoint);
    ~HttpClient();
    HttpClient(HttpClient&&) noexcept;
    HttpClient& operator=(HttpClient&&) noexcept;

    /**
     * @param request The request to send.
     * @param limit Timeout for connecting, writing and reading together.
     * @return The response, whatever its status; `nullopt` if there was none, with the reason in lastReason().
     */
    [[nodiscard]] std::optional<HttpResponse> call(const HttpRequest& request, std::chrono::milliseconds limit);

    /** Makes the current call() and each later call() fail at once. Can be called from any thread. */
    void cancel();

    /** @return Why the last failed call() got no response. */
    [[nodiscard]] const std::string& lastReason() const noexcept;
    [[nodiscard]] const Endpoint& endpoint() const noexcept;

    /** @return Bytes sent by all calls so far, headers included. */
    [[nodiscard]] std::uint64_t bytesSent() const noexcept;
    /** @return Bytes received by all calls so far, headers included. */
    [[nodiscard]] std::uint64_t bytesReceived() const noexcept;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace swiftlift::transport
