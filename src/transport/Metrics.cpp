#include "swiftlift/transport/Metrics.h"

#include <atomic>
#include <chrono>
#include <future>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <prometheus/exposer.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "transport/ProcessReadings.h"

namespace swiftlift::transport {

namespace {

    constexpr std::size_t updateRingCapacity = 8192;
    constexpr std::size_t maxSeries = 4096;
    constexpr std::chrono::milliseconds idleWait { 500 };
    /** How long updates are collected before they are applied as a batch; scrapes are seconds apart. */
    constexpr std::chrono::milliseconds batchInterval { 200 };
    constexpr std::size_t listenerThreads = 1;
    /** Time within which a client has to send its whole request; without one, the library waits for 30 s. */
    constexpr std::chrono::milliseconds requestTimeout { 500 };
    /** Interval at which an ending listener is woken. */
    constexpr std::chrono::milliseconds wakeInterval { 10 };
    constexpr double secondsPerMicrosecond = 1e-6;

    const prometheus::Histogram::BucketBoundaries firstTokenSeconds { 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.47, 0.7,
        1, 2, 5, 10, 30 };
    const prometheus::Histogram::BucketBoundaries betweenTokensSeconds { 0.002, 0.004, 0.006, 0.01, 0.015, 0.02, 0.029,
        0.05, 0.1, 0.3, 1, 5 };

    constexpr std::string_view prefix = "swiftlift_";

    std::string familyName(const std::string& name)
    {
        return name.starts_with(prefix) ? name : std::string(prefix) + name;
    }

    /** @return Options of the library's listener, each a name followed by its value. */
    std::vector<std::string> listenerOptions(const Endpoint& endpoint)
    {
        return { "listening_ports", toText(endpoint), "num_threads", std::to_string(listenerThreads),
            "request_timeout_ms", std::to_string(requestTimeout.count()) };
    }

    prometheus::Labels toLabels(const std::vector<std::pair<std::string, std::string>>& labels)
    {
        return { labels.begin(), labels.end() };
    }

} // namespace

struct Metrics::State {
    explicit State(const ControlTraffic& traffic)
        : updates(updateRingCapacity)
        , registry(std::make_shared<prometheus::Registry>())
        , readings(std::make_shared<internal::ProcessReadings>(traffic))
        , firstToken(prometheus::BuildHistogram()
                         .Name("swiftlift_first_token_seconds")
                         .Help("From a request's arrival to its first token")
                         .Register(*registry)
                         .Add({}, firstTokenSeconds))
        , betweenTokens(prometheus::BuildHistogram()
                            .Name("swiftlift_between_tokens_seconds")
                            .Help("Between two tokens of one answer")
                            .Register(*registry)
                            .Add({}, betweenTokensSeconds))
    {
    }

    void run();
    /** Ends the listener without waiting until it looks at its stop flag by itself. */
    void endListener();
    /** Opens a connection to the listener, and closes it. */
    void wakeListener(std::uint16_t port) const;
    [[nodiscard]] std::uint16_t listenerPort() const;
    void apply(const node::CountMetric& update);
    void apply(const node::GaugeMetric& update);
    [[nodiscard]] bool canAddSeries();

    MetricInbox updates;
    std::shared_ptr<prometheus::Registry> registry;
    std::shared_ptr<internal::ProcessReadings> readings;
    prometheus::Histogram& firstToken;
    prometheus::Histogram& betweenTokens;
    std::map<std::pair<std::string, prometheus::Labels>, prometheus::Counter*> counters;
    std::map<std::pair<std::string, prometheus::Labels>, prometheus::Gauge*> gauges;
    std::unique_ptr<prometheus::Exposer> exposer;
    std::string listenerIp;
    std::string lastReason;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

void Metrics::State::run()
{
    while (!stopping.load()) {
        if (updates.wakeup().waitFor(idleWait) && !stopping.load()) {
            std::this_thread::sleep_for(batchInterval);
        }
        updates.wakeup().consume();
        while (const auto update = updates.tryPop()) {
            std::visit([this](const auto& alternative) { apply(alternative); }, *update);
        }
    }
}

// The library's listener looks at its stop flag when a connection arrives, and otherwise every two seconds. Ending the
// listener sets the flag, and waits; nothing tells when the flag is set, so the listener is woken until it has ended.
void Metrics::State::endListener()
{
    if (!exposer) {
        return;
    }
    const std::uint16_t port = listenerPort();
    auto ended = std::async(std::launch::async, [this] { exposer.reset(); });
    while (ended.wait_for(wakeInterval) != std::future_status::ready) {
        wakeListener(port);
    }
}

void Metrics::State::wakeListener(std::uint16_t port) const
{
    using boost::asio::ip::tcp;
    boost::asio::io_context loop { 1 };
    boost::system::error_code ignored;
    tcp::socket socket(loop);
    socket.open(tcp::v4(), ignored);
    // A listener that no longer accepts must not hold up the stop.
    socket.non_blocking(true, ignored);
    socket.connect({ boost::asio::ip::make_address(listenerIp, ignored), port }, ignored);
}

std::uint16_t Metrics::State::listenerPort() const
{
    const auto ports = exposer ? exposer->GetListeningPorts() : std::vector<int> {};
    return ports.empty() ? std::uint16_t { 0 } : static_cast<std::uint16_t>(ports.front());
}

bool Metrics::State::canAddSeries() { return counters.size() + gauges.size() < maxSeries; }

void Metrics::State::apply(const node::CountMetric& update)
{
    const auto key = std::make_pair(update.name, toLabels(update.labels));
    auto found = counters.find(key);
    if (found == counters.end()) {
        if (!canAddSeries()) {
            return;
        }
        auto& family = prometheus::BuildCounter().Name(familyName(update.name)).Help(update.name).Register(*registry);
        found = counters.emplace(key, &family.Add(key.second)).first;
    }
    found->second->Increment(update.add);
}

void Metrics::State::apply(const node::GaugeMetric& update)
{
    const auto key = std::make_pair(update.name, toLabels(update.labels));
    auto found = gauges.find(key);
    if (found == gauges.end()) {
        if (!canAddSeries()) {
            return;
        }
        auto& family = prometheus::BuildGauge().Name(familyName(update.name)).Help(update.name).Register(*registry);
        found = gauges.emplace(key, &family.Add(key.second)).first;
    }
    found->second->Set(update.value);
}

Metrics::Metrics(const ControlTraffic& traffic)
    : state_(std::make_unique<State>(traffic))
{
}

Metrics::~Metrics() { stop(); }

bool Metrics::listen(const Endpoint& endpoint)
{
    try {
        state_->exposer = std::make_unique<prometheus::Exposer>(listenerOptions(endpoint));
    } catch (const std::exception& error) {
        state_->lastReason = toText(endpoint) + ": " + error.what();
        return false;
    }
    state_->listenerIp = endpoint.ip;
    state_->exposer->RegisterCollectable(state_->registry);
    state_->exposer->RegisterCollectable(state_->readings);
    return true;
}

const std::string& Metrics::lastReason() const noexcept { return state_->lastReason; }

std::uint16_t Metrics::port() const { return state_->listenerPort(); }

void Metrics::start()
{
    state_->thread = std::thread([state = state_.get()] { state->run(); });
}

void Metrics::stop()
{
    state_->stopping.store(true);
    state_->updates.wakeup().signal();
    state_->endListener();
    if (state_->thread.joinable()) {
        state_->thread.join();
    }
}

MetricInbox& Metrics::inbox() noexcept { return state_->updates; }

void Metrics::addReading(std::string name, std::string help, std::function<double()> read)
{
    state_->readings->add(std::move(name), std::move(help), std::move(read));
}

void Metrics::firstToken(std::chrono::microseconds sinceArrival)
{
    state_->firstToken.Observe(static_cast<double>(sinceArrival.count()) * secondsPerMicrosecond);
}

void Metrics::betweenTokens(std::chrono::microseconds gap)
{
    state_->betweenTokens.Observe(static_cast<double>(gap.count()) * secondsPerMicrosecond);
}

} // namespace swiftlift::transport
