#include "swiftlift/transport/Metrics.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

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
        state_->exposer = std::make_unique<prometheus::Exposer>(toText(endpoint), listenerThreads);
    } catch (const std::exception& error) {
        state_->lastReason = toText(endpoint) + ": " + error.what();
        return false;
    }
    state_->exposer->RegisterCollectable(state_->registry);
    state_->exposer->RegisterCollectable(state_->readings);
    return true;
}

const std::string& Metrics::lastReason() const noexcept { return state_->lastReason; }

std::uint16_t Metrics::port() const
{
    const auto ports = state_->exposer ? state_->exposer->GetListeningPorts() : std::vector<int> {};
    return ports.empty() ? std::uint16_t { 0 } : static_cast<std::uint16_t>(ports.front());
}

void Metrics::start()
{
    state_->thread = std::thread([state = state_.get()] { state->run(); });
}

void Metrics::stop()
{
    state_->exposer.reset();
    state_->stopping.store(true);
    state_->updates.wakeup().signal();
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
