#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "swiftlift/transport/Endpoint.h"

namespace swiftlift::transport {

struct HttpRequest {
    /** `GET` or `POST`. */
    std::string method = "GET";
    std::string target;
    std::string contentType;
    std::string body;
};

struct HttpResponse {
    int status = 0;
    std::string body;
};

/**
 * @brief HTTP client that waits for its answers, with a time limit for the whole of each call. For one thread.
 *
 * Keeps its connection. A call whose kept connection turns out closed is not repeated here: whether it took effect is
 * the caller's to find out.
 */
class HttpClient {
public:
    explicit HttpClient(Endpoint endpoint);
    ~HttpClient();
    HttpClient(HttpClient&&) noexcept;
    HttpClient& operator=(HttpClient&&) noexcept;

    /**
     * @param request What to ask.
     * @param limit For everything: connect, write, read.
     * @return The answer, of any status; nothing when none came: see lastReason().
     */
    [[nodiscard]] std::optional<HttpResponse> call(const HttpRequest& request, std::chrono::milliseconds limit);

    /** Makes a call() under way, and each later one, fail at once. The one function for other threads. */
    void cancel();

    [[nodiscard]] const std::string& lastReason() const noexcept;
    [[nodiscard]] const Endpoint& endpoint() const noexcept;

    /** @return Bytes of all calls so far, headers included. */
    [[nodiscard]] std::uint64_t bytesSent() const noexcept;
    [[nodiscard]] std::uint64_t bytesReceived() const noexcept;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace swiftlift::transport
