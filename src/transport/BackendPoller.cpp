#include "transport/BackendPoller.h"

#include <utility>

#include "transport/PlatformReports.h"

namespace swiftlift::transport::internal {

namespace http = boost::beast::http;

namespace {

    constexpr int statusOk = 200;
    constexpr unsigned httpVersion = 11;

} // namespace

http::request<http::string_body> makeGetRequest(const std::string& host, const std::string& target)
{
    http::request<http::string_body> request { http::verb::get, target, httpVersion };
    request.set(http::field::host, host);
    return request;
}

std::chrono::milliseconds PlatformContext::jittered(std::chrono::milliseconds interval)
{
    std::uniform_real_distribution<double> factor(1.0 - settings.jitter, 1.0 + settings.jitter);
    return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(interval.count()) * factor(random)));
}

BackendPoller::BackendPoller(PlatformContext& context, BackendId backend, bool hasCache)
    : context_(context)
    , backend_(std::move(backend))
    , hasCache_(hasCache)
    , timer_(context.loop)
{
    if (const auto endpoint = endpointOf(context_.settings.forwarders, BackendAddress(backend_.value()))) {
        client_ = std::make_shared<AsyncHttpClient>(context.loop, *endpoint, context.traffic.backends);
    }
}

void BackendPoller::start()
{
    if (client_) {
        requestLoad();
    }
}

void BackendPoller::stop()
{
    stopped_ = true;
    timer_.cancel();
    if (client_) {
        client_->close();
    }
}

void BackendPoller::pollAfter(std::chrono::milliseconds time)
{
    timer_.expires_after(time);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->stopped_) {
            self->requestLoad();
        }
    });
}

void BackendPoller::requestLoad()
{
    client_->call(makeGetRequest(backend_.value(), "/load"), context_.settings.limit,
        [self = shared_from_this()](const std::optional<HttpResponse>& answer) { self->handleLoad(answer); });
}

void BackendPoller::handleLoad(const std::optional<HttpResponse>& answer)
{
    if (stopped_) {
        return;
    }
    node::BackendLoad load;
    load.backend = backend_;
    if (answer && answer->status == statusOk) {
        load = parseLoad(backend_, answer->body);
    }
    const bool reachable = load.reachable;
    context_.decisions.pushOrDrop({ Incarnation {}, std::move(load) });
    ++loadsSinceCacheRead_;
    if (reachable && hasCache_ && loadsSinceCacheRead_ >= context_.settings.loadsPerCacheRead) {
        requestCacheEvents();
    } else {
        scheduleNextPoll();
    }
}

void BackendPoller::requestCacheEvents()
{
    loadsSinceCacheRead_ = 0;
    client_->call(makeGetRequest(backend_.value(), "/cache-events?from=" + std::to_string(nextCacheEvent_)),
        context_.settings.limit,
        [self = shared_from_this()](const std::optional<HttpResponse>& answer) { self->handleCacheEvents(answer); });
}

void BackendPoller::handleCacheEvents(const std::optional<HttpResponse>& answer)
{
    if (stopped_) {
        return;
    }
    if (answer && answer->status == statusOk) {
        if (auto page = parseCacheEvents(answer->body)) {
            // May be smaller than before: an engine that restarts numbers its events from the start again.
            nextCacheEvent_ = page->next;
            if (!page->events.empty()) {
                context_.decisions.pushOrDrop(
                    { Incarnation {}, node::CacheEventsRead { backend_, std::move(page->events) } });
            }
        }
    }
    scheduleNextPoll();
}

void BackendPoller::scheduleNextPoll() { pollAfter(context_.jittered(context_.settings.loadInterval)); }

} // namespace swiftlift::transport::internal
