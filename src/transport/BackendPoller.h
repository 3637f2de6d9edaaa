#pragma once

#include <cstdint>
#include <memory>
#include <random>

#include <boost/asio/steady_timer.hpp>

#include "swiftlift/transport/PlatformClient.h"
#include "transport/AsyncHttpClient.h"

namespace swiftlift::transport::internal {

/** State that the objects of the platform thread share. */
struct PlatformContext {
    boost::asio::io_context& loop;
    const PlatformSettings& settings;
    DecisionInbox& decisions;
    ControlTraffic& traffic;
    std::minstd_rand random;

    /** @return The interval, randomly lengthened or shortened by up to `settings.jitter` of its length. */
    [[nodiscard]] std::chrono::milliseconds jittered(std::chrono::milliseconds interval);
};

/** Periodically reads a backend server's load report and, if it is an engine with a cache, its cache events. */
class BackendPoller : public std::enable_shared_from_this<BackendPoller> {
public:
    /**
     * @param context Shared state of the platform thread; outlives the poller.
     * @param backend The backend server's address.
     * @param hasCache Whether to read cache events too.
     */
    BackendPoller(PlatformContext& context, BackendId backend, bool hasCache);

    void start();
    void stop();

private:
    void pollAfter(std::chrono::milliseconds time);
    void requestLoad();
    void handleLoad(const std::optional<HttpResponse>& answer);
    void requestCacheEvents();
    void handleCacheEvents(const std::optional<HttpResponse>& answer);
    void scheduleNextPoll();

    PlatformContext& context_;
    BackendId backend_;
    bool hasCache_;
    std::shared_ptr<AsyncHttpClient> client_;
    boost::asio::steady_timer timer_;
    std::uint64_t nextCacheEvent_ = 0;
    std::uint32_t loadsSinceCacheRead_ = 0;
    bool stopped_ = false;
};

/** @return A GET request for `target`, with `host` as its Host header. */
[[nodiscard]] boost::beast::http::request<boost::beast::http::string_body> makeGetRequest(
    const std::string& host, const std::string& target);

} // namespace swiftlift::transport::internal
