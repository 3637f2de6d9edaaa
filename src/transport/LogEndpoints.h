#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

#include "swiftlift/transport/HttpClient.h"
#include "swiftlift/transport/LogClient.h"

namespace swiftlift::transport::internal {

/** One thread's connection to the log; switches to the next configured address after a failed call. */
class LogEndpoints {
public:
    LogEndpoints(const LogClientSettings& settings, LogTraffic& traffic);

    /** @return The response, whatever its status; `nullopt` if there was none, with the reason in lastReason(). */
    [[nodiscard]] std::optional<HttpResponse> call(const HttpRequest& request, std::chrono::milliseconds limit);

    /** As call(), for a read of the stream, which is counted. */
    [[nodiscard]] std::optional<HttpResponse> read(
        const StreamName& stream, const HttpRequest& request, std::chrono::milliseconds limit);

    /** Makes the current call() and each later call() fail at once. Can be called from any thread. */
    void cancel();

    [[nodiscard]] const std::string& lastReason() const noexcept { return lastReason_; }

private:
    void switchToNextEndpoint();
    void countTraffic();

    const LogClientSettings& settings_;
    LogTraffic& traffic_;
    std::size_t currentIndex_ = 0;
    std::mutex clientMutex_;
    std::optional<HttpClient> client_;
    bool cancelled_ = false;
    std::uint64_t countedSent_ = 0;
    std::uint64_t countedReceived_ = 0;
    std::string lastReason_;
};

} // namespace swiftlift::transport::internal
