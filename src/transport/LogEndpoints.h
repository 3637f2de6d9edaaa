#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

#include "swiftlift/transport/HttpClient.h"
#include "swiftlift/transport/LogClient.h"

namespace swiftlift::transport::internal {

/** One thread's connection to the log: goes to the next address when one fails. */
class LogEndpoints {
public:
    LogEndpoints(const LogClientSettings& settings, TrafficCounter& traffic);

    /** @return The answer, of any status; nothing when none came: see lastReason(). */
    [[nodiscard]] std::optional<HttpResponse> call(const HttpRequest& request, std::chrono::milliseconds limit);

    /** For other threads: a call under way, and each later one, fails at once. */
    void cancel();

    [[nodiscard]] const std::string& lastReason() const noexcept { return lastReason_; }

private:
    void useNext();
    void countTraffic();

    const LogClientSettings& settings_;
    TrafficCounter& traffic_;
    std::size_t place_ = 0;
    std::mutex clientMutex_;
    std::optional<HttpClient> client_;
    bool cancelled_ = false;
    std::uint64_t countedSent_ = 0;
    std::uint64_t countedReceived_ = 0;
    std::string lastReason_;
};

} // namespace swiftlift::transport::internal
