#include "node/LoadFleet.h"

#include <algorithm>

#include "swiftlift/wire/PeerCodec.h"

namespace swiftlift::node::testing {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const ServiceName service { "model" };
    constexpr Duration step = milliseconds(1);
    constexpr Duration tickPeriod = milliseconds(50);
    constexpr Duration heartbeatPeriod = seconds(2);
    constexpr Duration latest = seconds(1);
    constexpr std::int64_t unit = 64;
    constexpr std::size_t knownPerDomain = 4;

    [[nodiscard]] Duration toDuration(double microseconds)
    {
        return Duration(static_cast<Duration::rep>(microseconds));
    }
    [[nodiscard]] PeerAddress addressOf(std::size_t router)
    {
        return PeerAddress(std::to_string(router) + ".0.10.7:8366");
    }

} // namespace

LoadFleet::LoadFleet(const LoadFleetSettings& settings)
    : settings_(settings)
    , random_(settings_.seed)
    , routers_(settings_.routers)
{
    const std::size_t servers = settings_.servers + (settings_.markers ? settings_.routers : 0);
    for (std::size_t server = 0; server < servers; ++server) {
        servers_.emplace_back("s-" + std::to_string(server));
    }
    // One router has twelve times the requests of most, two have eight times; an eighth of the servers is popular.
    std::vector<double> routerWeights(settings_.routers, 1);
    routerWeights[0] = 12;
    routerWeights[std::min<std::size_t>(1, settings_.routers - 1)] = 8;
    routerWeights[std::min<std::size_t>(2, settings_.routers - 1)] = 8;
    std::vector<double> serverWeights;
    for (std::size_t server = 0; server < settings_.servers; ++server) {
        serverWeights.push_back(server % 8 == 0 ? 3 : 1);
    }
    weights_.emplace_back(routerWeights.begin(), routerWeights.end());
    weights_.emplace_back(serverWeights.begin(), serverWeights.end());
    for (std::size_t index = 0; index < routers_.size(); ++index) {
        start(routers_[index], index);
    }
}

void LoadFleet::start(Router& router, std::size_t index)
{
    CoreSettings core;
    core.incarnation = Incarnation(++lastIncarnation_);
    core.peerAddress = addressOf(index);
    core.domain = FailureDomain("d" + std::to_string(domainOf(index)));
    // The first two routers of each domain have wide links.
    core.bandwidth = index < 2 * settings_.domains ? 200 : 10;
    core.seed = random_();
    core.loads = settings_.loads;
    router.exchange.reset();
    router.context = std::make_unique<Context>(core);
    router.peers = std::make_unique<Peers>(*router.context);
    router.table = std::make_unique<routing::BackendTable>();
    router.exchange = std::make_unique<LoadExchange>(*router.context, *router.peers, *router.table);
    router.alive = true;
    router.nextTick = now_ + toDuration(uniform(0, 200'000));
    std::vector<routing::BackendEntry> entries;
    for (const BackendId& server : servers_) {
        // Only servers with memory, that is engines, have a view of their load.
        entries.push_back({ server, FailureDomain("d0"), 12, 0, false, {}, {}, Tokens { 400'000 } });
    }
    router.table->setBackends(service, entries, now_);
    router.context->begin(now_, actions_);
}

void LoadFleet::restart(std::size_t router) { start(routers_[router], router); }

double LoadFleet::uniform(double from, double to) { return std::uniform_real_distribution(from, to)(random_); }
double LoadFleet::exponential(double mean) { return std::exponential_distribution(1 / mean)(random_); }

void LoadFleet::run(Duration time)
{
    for (const Instant end = now_ + time; now_ < end; now_ += step) {
        if (now_ >= nextHeartbeats_) {
            nextHeartbeats_ = now_ + heartbeatPeriod;
            exchangeHeartbeats();
        }
        for (; !ends_.empty() && ends_.begin()->first <= now_; ends_.erase(ends_.begin())) {
            this->end(ends_.begin()->second);
        }
        for (; settings_.requestsPerSecond > 0 && nextArrival_ <= now_;
             nextArrival_ += toDuration(exponential(1e6 / settings_.requestsPerSecond))) {
            arrive();
        }
        for (; !network_.empty() && network_.begin()->first <= now_; network_.erase(network_.begin())) {
            deliver(network_.begin()->second);
        }
        for (std::size_t index = 0; index < routers_.size(); ++index) {
            if (routers_[index].alive && now_ >= routers_[index].nextTick) {
                tick(index);
            }
        }
    }
}

void LoadFleet::exchangeHeartbeats()
{
    for (std::size_t from = 0; from < routers_.size(); ++from) {
        const CoreSettings& sender = routers_[from].context->settings();
        Heartbeat heartbeat { sender.domain, sender.region, false, true, {} };
        heartbeat.bandwidth = sender.bandwidth;
        for (std::size_t to = 0; to < routers_.size(); ++to) {
            // Of other domains a router knows a few only, to keep the simulation of large fleets fast.
            const bool isKnown = domainOf(from) == domainOf(to) || from < knownPerDomain * settings_.domains;
            if (isKnown && routers_[from].alive && routers_[to].alive && connected(from, to)) {
                routers_[to].context->begin(now_, actions_);
                routers_[to].peers->onHeartbeat(sender.incarnation, sender.peerAddress, heartbeat);
            }
        }
    }
}

void LoadFleet::tick(std::size_t index)
{
    Router& router = routers_[index];
    router.nextTick = now_ + tickPeriod + toDuration(uniform(0, 5'000));
    if (settings_.markers) {
        refreshMarker(index);
    }
    router.context->begin(now_, actions_);
    (void)router.peers->tick([] { return Heartbeat {}; });
    router.exchange->tick(false);
    execute(index);
}

void LoadFleet::refreshMarker(std::size_t index)
{
    routing::BackendTable& table = *routers_[index].table;
    const BackendId& marker = servers_[settings_.servers + index];
    const AttemptId attempt { std::uint64_t { 1 } << 40U };
    table.onFinished(marker, attempt, { routing::EndKind::Cancelled, Tokens {}, Tokens {} }, now_);
    const Tokens memory { unit * std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()).count() };
    table.onDispatched(marker, attempt, { 0, Tokens {}, {}, memory }, now_);
}

void LoadFleet::execute(std::size_t index)
{
    Router& from = routers_[index];
    for (Action& action : std::exchange(actions_, {})) {
        if (auto* line = std::get_if<LogLine>(&action)) {
            from.lines.push_back(std::move(*line));
        }
        const auto* message = std::get_if<SendPeer>(&action);
        if (message == nullptr || std::holds_alternative<Heartbeat>(message->message)) {
            continue;
        }
        const CoreSettings& sender = from.context->settings();
        const std::string bytes = wire::encodePeerEnvelope(
            { sender.incarnation, sender.peerAddress, message->receiver, message->message, 0 });
        from.sent.messages += 1;
        from.sent.bytes += static_cast<double>(bytes.size());
        const std::size_t to = std::stoul(message->to.value());
        if (!connected(index, to)) {
            continue;
        }
        const auto envelope = wire::decodePeerEnvelope(bytes);
        routers_[to].received.messages += 1;
        routers_[to].received.bytes += static_cast<double>(bytes.size());
        const Delivery delivery { to, { envelope->sender, envelope->senderAddress, envelope->message },
            envelope->receiver };
        network_.emplace(now_ + toDuration(uniform(1'000, 8'000)), delivery);
        if (duplicates) {
            network_.emplace(now_ + toDuration(uniform(0, static_cast<double>(latest.count()))), delivery);
        }
    }
}

void LoadFleet::deliver(const Delivery& delivery)
{
    Router& router = routers_[delivery.to];
    const bool isAddressed = delivery.receiver == Incarnation {} || delivery.receiver == router.context->self();
    if (!router.alive || !isAddressed) {
        return;
    }
    router.context->begin(now_, actions_);
    if (const auto* report = std::get_if<LoadReport>(&delivery.event.message)) {
        router.exchange->on(delivery.event, *report);
    } else if (const auto* digest = std::get_if<LoadDigest>(&delivery.event.message)) {
        router.exchange->on(delivery.event, *digest);
    }
    execute(delivery.to);
}

void LoadFleet::arrive()
{
    const std::size_t router = weights_[0](random_);
    const std::size_t server = weights_[1](random_);
    if (routers_[router].alive) {
        send(router, server);
        const Attempt attempt { router, server, AttemptId { lastAttempt_ }, routers_[router].context->self() };
        const auto runTime = toDuration(exponential(static_cast<double>(settings_.meanRunTime.count())));
        ends_.emplace(now_ + runTime, attempt);
    }
}

void LoadFleet::send(std::size_t router, std::size_t server)
{
    const Tokens prompt { 2'368 };
    routers_[router].table->onDispatched(
        servers_[server], AttemptId { ++lastAttempt_ }, { 0, prompt, {}, prompt }, now_);
}

void LoadFleet::end(const Attempt& attempt)
{
    Router& router = routers_[attempt.router];
    if (router.alive && router.context->self() == attempt.incarnation) {
        const routing::FinishFacts facts { routing::EndKind::Completed, Tokens {}, Tokens {}, {}, milliseconds(20) };
        router.table->onFinished(servers_[attempt.server], attempt.id, facts, now_);
    }
}

routing::BackendView LoadFleet::view(std::size_t router, std::size_t server) const
{
    return *routers_[router].table->view(servers_[server], {}, now_);
}

int LoadFleet::seen(std::size_t router, std::size_t server) const
{
    const auto view = this->view(router, server);
    return view.peers ? static_cast<int>(view.peers->load.inProgress + view.own.inProgress) : -1;
}

int LoadFleet::trueLoad(std::size_t server) const
{
    std::uint32_t sum = 0;
    for (const Router& router : routers_) {
        sum += router.alive ? router.table->view(servers_[server], {}, now_)->own.inProgress : 0;
    }
    return static_cast<int>(sum);
}

Duration LoadFleet::ageOf(std::size_t other, std::size_t router) const
{
    const auto peers = view(router, settings_.servers + other).peers;
    return now_.time_since_epoch() - milliseconds(peers ? peers->load.memory.value() / unit : 0);
}

} // namespace swiftlift::node::testing
