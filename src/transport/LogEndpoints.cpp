#include "transport/LogEndpoints.h"

#include <utility>

#include "swiftlift/transport/SteadyInstant.h"

namespace swiftlift::transport::internal {

namespace {

    constexpr int statusTooManyRequests = 429;
    constexpr int firstServerError = 500;

} // namespace

LogEndpoints::LogEndpoints(const LogClientSettings& settings, LogTraffic& traffic)
    : settings_(settings)
    , traffic_(traffic)
{
    if (!settings_.endpoints.empty()) {
        client_.emplace(settings_.endpoints.front());
    }
}

std::optional<HttpResponse> LogEndpoints::call(const HttpRequest& request, std::chrono::milliseconds limit)
{
    if (!client_) {
        lastReason_ = "no log address is configured";
        return std::nullopt;
    }
    auto answer = client_->call(request, limit);
    countTraffic();
    if (!answer) {
        lastReason_ = toText(client_->endpoint()) + ": " + client_->lastReason();
        switchToNextEndpoint();
    }
    return answer;
}

std::optional<HttpResponse> LogEndpoints::read(
    const StreamName& stream, const HttpRequest& request, std::chrono::milliseconds limit)
{
    const Instant begun = steadyInstant();
    auto answer = call(request, limit);
    // Other statuses say something of the stream: that it has no records yet, or none as old as those asked for.
    const bool served = answer && answer->status < firstServerError && answer->status != statusTooManyRequests;
    const auto bytes = served ? std::optional<std::uint64_t>(answer->body.size()) : std::nullopt;
    traffic_.calls.noteRead(stream, bytes, steadyInstant() - begun);
    return answer;
}

void LogEndpoints::countTraffic()
{
    traffic_.sent += client_->bytesSent() - std::exchange(countedSent_, client_->bytesSent());
    traffic_.received += client_->bytesReceived() - std::exchange(countedReceived_, client_->bytesReceived());
}

void LogEndpoints::switchToNextEndpoint()
{
    if (settings_.endpoints.size() < 2) {
        return;
    }
    const std::lock_guard lock(clientMutex_);
    currentIndex_ = (currentIndex_ + 1) % settings_.endpoints.size();
    client_.emplace(settings_.endpoints[currentIndex_]);
    countedSent_ = 0;
    countedReceived_ = 0;
    if (cancelled_) {
        client_->cancel();
    }
}

void LogEndpoints::cancel()
{
    const std::lock_guard lock(clientMutex_);
    cancelled_ = true;
    if (client_) {
        client_->cancel();
    }
}

} // namespace swiftlift::transport::internal
