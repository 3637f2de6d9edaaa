#include "swiftlift/transport/PlatformClient.h"

#include <atomic>
#include <map>
#include <thread>
#include <utility>

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>

#include "swiftlift/transport/DecisionLoop.h"
#include "transport/BackendPoller.h"
#include "transport/HttpText.h"
#include "transport/PlatformReports.h"

namespace swiftlift::transport {

namespace {

    using ErrorCode = boost::system::error_code;

    constexpr std::size_t commandRingCapacity = 4096;
    constexpr int statusOk = 200;

} // namespace

struct PlatformClient::State {
    State(PlatformSettings platformSettings, DecisionInbox& decisions, ControlTraffic& traffic)
        : settings(std::move(platformSettings))
        , inbox(commandRingCapacity)
        , context { loop, settings, decisions, traffic, std::minstd_rand(std::random_device {}()) }
        , commands(loop, ::dup(inbox.wakeup().descriptor()))
        , vmTimer(loop)
        , vmClient(std::make_shared<internal::AsyncHttpClient>(loop, settings.vmList, traffic.platform))
    {
    }

    void waitForCommands();
    void executeCommands();
    void execute(const node::WatchBackends& watch);
    void execute(const node::SendOrder& order);
    void requestVmList();
    void handleVmList(const std::optional<HttpResponse>& answer);

    const PlatformSettings settings;
    PlatformInbox inbox;
    boost::asio::io_context loop { 1 };
    internal::PlatformContext context;
    boost::asio::posix::stream_descriptor commands;
    boost::asio::steady_timer vmTimer;
    std::shared_ptr<internal::AsyncHttpClient> vmClient;
    std::map<std::pair<BackendId, bool>, std::shared_ptr<internal::BackendPoller>> pollers;
    std::thread thread;
};

void PlatformClient::State::waitForCommands()
{
    commands.async_wait(boost::asio::posix::stream_descriptor::wait_read, [this](ErrorCode error) {
        if (!error) {
            executeCommands();
            waitForCommands();
        }
    });
}

void PlatformClient::State::executeCommands()
{
    inbox.wakeup().consume();
    while (const auto command = inbox.tryPop()) {
        std::visit([this](const auto& order) { execute(order); }, *command);
    }
}

void PlatformClient::State::execute(const node::WatchBackends& watch)
{
    std::map<std::pair<BackendId, bool>, std::shared_ptr<internal::BackendPoller>> watched;
    const auto watchBackend = [&](const BackendId& backend, bool hasCache) {
        const auto found = pollers.find({ backend, hasCache });
        if (found != pollers.end()) {
            watched.insert(*found);
            pollers.erase(found);
            return;
        }
        const auto [added, isNew] = watched.try_emplace({ backend, hasCache });
        if (isNew) {
            added->second = std::make_shared<internal::BackendPoller>(context, backend, hasCache);
            added->second->start();
        }
    };
    for (const auto& backend : watch.models) {
        watchBackend(backend, true);
    }
    for (const auto& backend : watch.plain) {
        watchBackend(backend, false);
    }
    for (const auto& [key, poller] : std::exchange(pollers, std::move(watched))) {
        poller->stop();
    }
}

void PlatformClient::State::execute(const node::SendOrder& order)
{
    const auto answer = [this, backend = order.backend](const std::optional<HttpResponse>& response) {
        node::OrderAnswered answered;
        answered.backend = backend;
        if (response) {
            answered = internal::parseOrderAnswer(backend, response->status, response->body);
        }
        context.decisions.pushOrDrop({ Incarnation {}, std::move(answered) });
    };
    const auto endpoint = endpointOf(settings.forwarders, BackendAddress(order.backend.value()));
    if (!endpoint) {
        answer(std::nullopt);
        return;
    }
    auto request = internal::jsonPost(order.backend.value(), "/orders", order.body);
    request.set("X-Fencing", std::to_string(order.fencing));
    const auto client = std::make_shared<internal::AsyncHttpClient>(loop, *endpoint, context.traffic.backends);
    if (order.notAfter) {
        // The VM may be paused after the core has checked its lease; the order would then be sent when another router
        // holds the lease. Therefore the clock is read again immediately before the write.
        client->setSendCondition([until = *order.notAfter] { return steadyInstant() < until; });
    }
    client->call(std::move(request), settings.limit, answer);
}

void PlatformClient::State::requestVmList()
{
    vmClient->call(internal::makeGetRequest(toText(settings.vmList), "/vms"), settings.limit,
        [this](const std::optional<HttpResponse>& answer) { handleVmList(answer); });
}

void PlatformClient::State::handleVmList(const std::optional<HttpResponse>& answer)
{
    if (answer && answer->status == statusOk) {
        if (auto list = internal::parseVmList(answer->body)) {
            context.decisions.pushOrDrop({ Incarnation {}, std::move(*list) });
        }
    }
    vmTimer.expires_after(context.jittered(settings.vmListInterval));
    vmTimer.async_wait([this](ErrorCode error) {
        if (!error) {
            requestVmList();
        }
    });
}

PlatformClient::PlatformClient(PlatformSettings settings, DecisionInbox& decisions, ControlTraffic& traffic)
    : state_(std::make_unique<State>(std::move(settings), decisions, traffic))
{
}

PlatformClient::~PlatformClient() { stop(); }

void PlatformClient::start()
{
    state_->waitForCommands();
    state_->requestVmList();
    state_->thread = std::thread([state = state_.get()] { state->loop.run(); });
}

void PlatformClient::stop()
{
    state_->loop.stop();
    if (state_->thread.joinable()) {
        state_->thread.join();
    }
}

PlatformInbox& PlatformClient::inbox() noexcept { return state_->inbox; }

} // namespace swiftlift::transport
