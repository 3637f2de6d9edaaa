#pragma once

#include <cstdint>
#include <memory>
#include <random>

#include <boost/asio/steady_timer.hpp>

#include "swiftlift/transport/PlatformClient.h"
#include "transport/AsyncHttpClient.h"

namespace swiftlift::transport::internal {

/** What all parts of the platform thread share. */
struct PlatformContext {
    boost::asio::io_context& loop;
    const PlatformSettings& settings;
    DecisionInbox& decisions;
    ControlTraffic& traffic;
    std::minstd_rand random;

    /** @return The interval, a little longer or shorter. */
    [[nodiscard]] std::chrono::milliseconds jittered(std::chrono::milliseconds interval);
};

/** Reads one backend server's load, and of an engine its cache events, again and again. */
class BackendPoller : public std::enable_shared_from_this<BackendPoller> {
public:
    BackendPoller(PlatformContext& context, BackendId backend, bool hasCache);

    void start();
    void stop();

private:
    void waitFor(std::chrono::milliseconds time);
    void askLoad();
    void loadCame(const std::optional<HttpResponse>& answer);
    void askCacheEvents();
    void cacheEventsCame(const std::optional<HttpResponse>& answer);
    void roundDone();

    PlatformContext& context_;
    BackendId backend_;
    bool hasCache_;
    std::shared_ptr<AsyncHttpClient> client_;
    boost::asio::steady_timer timer_;
    std::uint64_t nextEvent_ = 0;
    std::uint32_t loadsSinceCacheRead_ = 0;
    bool stopped_ = false;
};

/** @return A GET of `target`. */
[[nodiscard]] boost::beast::http::request<boost::beast::http::string_body> getRequest(
    const std::string& host, const std::string& target);

} // namespace swiftlift::transport::internal
