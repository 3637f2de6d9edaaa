#include "routing/BrittleFleet.h"

#include <algorithm>
#include <utility>

namespace swiftlift::routing::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

    const ServiceName service { "app" };
    /** The fleet's bound on retries. */
    constexpr RetryBound retryBound { 0.2, 52, seconds(10) };

} // namespace

FleetPattern enginePattern()
{
    FleetPattern pattern;
    pattern.servers = 18;
    pattern.slots = 32;
    pattern.work = seconds(3);
    pattern.requestsPerSecond = 140;
    return pattern;
}

FleetPattern manyEnginePattern()
{
    FleetPattern pattern = enginePattern();
    pattern.routers = 59;
    pattern.servers = 60;
    pattern.slots = 24;
    pattern.work = milliseconds(1500);
    pattern.requestsPerSecond = 650;
    return pattern;
}

BrittleFleet::BrittleFleet(const FleetPattern& pattern)
    : pattern_(pattern)
    , routers_(pattern.routers)
    , servers_(pattern.servers)
    , random_(pattern.seed)
{
    for (std::size_t index = 0; index < pattern_.routers; ++index) {
        addresses_.emplace_back("10.0.0." + std::to_string(index) + ":7400");
    }
    for (std::size_t index = 0; index < pattern_.routers; ++index) {
        startRouter(index);
        push(now_ + heartbeatPeriod * static_cast<int>(index) / static_cast<int>(pattern_.routers), Step::Heartbeat,
            nullptr, index);
        push(now_ + tickPeriod, Step::Tick, nullptr, index);
    }
}

BackendId BrittleFleet::idOf(std::size_t server) const
{
    return BackendId { "s" + std::to_string(server) + "." + std::to_string(servers_[server].life) };
}

std::vector<BackendEntry> BrittleFleet::entries() const
{
    std::vector<BackendEntry> list;
    for (std::size_t index = 0; index < servers_.size(); ++index) {
        BackendEntry entry { idOf(index), FailureDomain { "d" }, pattern_.slots };
        entry.memory = pattern_.memory;
        list.push_back(std::move(entry));
    }
    return list;
}

Announcement BrittleFleet::announcement() const
{
    Announcement stated;
    stated.brittle = brittle_ ? std::optional(pattern_.bearable) : std::nullopt;
    return stated;
}

void BrittleFleet::startRouter(std::size_t router)
{
    Router& started = routers_[router];
    TableSettings table;
    table.polled = false;
    started.table = std::make_unique<BackendTable>(table);
    started.table->setRouters(addresses_[router], addresses_, now_);
    started.table->setBackends(service, entries(), now_);
    SelectorSettings settings;
    settings.seed = pattern_.seed * 1000 + router;
    started.selector = makeSelector("rendezvous", settings);
    started.retries = std::make_unique<RetryShare>(retryBound, now_);
    started.waiting.clear();
}

void BrittleFleet::restartRouter(std::size_t router)
{
    ++routers_[router].process;
    startRouter(router);
}

void BrittleFleet::listRouters(std::size_t router, const std::vector<std::size_t>& listed)
{
    std::vector<PeerAddress> addresses;
    for (const std::size_t index : listed) {
        addresses.push_back(addresses_[index]);
    }
    routers_[router].table->setRouters(addresses_[router], std::move(addresses), now_);
}

void BrittleFleet::listServers()
{
    for (Router& router : routers_) {
        router.table->setBackends(service, entries(), now_);
    }
}

void BrittleFleet::push(
    Instant at, Step step, std::shared_ptr<Request> request, std::size_t index, std::vector<SharedAnnouncement> news)
{
    due_.push({ at, step, std::move(request), index, std::move(news), ++lastOrder_ });
}

std::size_t BrittleFleet::drawRouter()
{
    const double drawn = std::uniform_real_distribution<double>(0, 1)(random_);
    std::size_t router = pattern_.firstRouterPart > drawn ? 0 : random_() % pattern_.routers;
    while (removed_.contains(router)) {
        router = (router + 1) % pattern_.routers;
    }
    return router;
}

double BrittleFleet::timeOfLeaver() const
{
    const double runOn = std::min(1.0, static_cast<double>(pattern_.runOn.count()) / pattern_.work.count());
    return (1 - runOn) * (1 - runOn) / 2 + runOn * (1 - runOn) + runOn;
}

double BrittleFleet::capacity() const
{
    double places = pattern_.slots;
    if (pattern_.memory && pattern_.requestMemory > Tokens {}) {
        const auto memory = static_cast<double>(pattern_.memory->value());
        places = std::min(places, memory / static_cast<double>(pattern_.requestMemory.value()));
    }
    const double meanTime = 1 - pattern_.leavingCallers * (1 - timeOfLeaver());
    const double timeOfPlace = std::chrono::duration<double>(pattern_.work).count() * meanTime;
    return static_cast<double>(pattern_.servers) * places / timeOfPlace;
}

void BrittleFleet::run(Duration time, double factor)
{
    const double arrivals = pattern_.requestsPerSecond * factor;
    const double staying = (1 - pattern_.leavingCallers) * std::min(capacity(), arrivals);
    servable_ += staying * std::chrono::duration<double>(time).count();
    std::exponential_distribution<double> gaps(arrivals);
    const Instant end = now_ + time;
    while (now_ < end) {
        now_ += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gaps(random_)));
        handleDue();
        arriveAtRouter();
    }
}

void BrittleFleet::arriveAtRouter()
{
    auto request = std::make_shared<Request>();
    request->router = drawRouter();
    request->process = routers_[request->router].process;
    request->arrivedAt = now_;
    if (pattern_.leavingCallers > 0) {
        request->leaves = std::uniform_real_distribution<double>(0, 1)(random_) < pattern_.leavingCallers;
    }
    if (pattern_.requestMemory > Tokens {}) {
        const double factor = std::uniform_real_distribution<double>(0.5, 1.5)(random_);
        const auto tokens = static_cast<double>(pattern_.requestMemory.value()) * factor;
        request->memory = Tokens { static_cast<std::int64_t>(tokens) };
    }
    routers_[request->router].retries->onRequest();
    if (!dispatch(request)) {
        routers_[request->router].waiting.push_back(request);
    }
}

bool BrittleFleet::dispatch(const std::shared_ptr<Request>& request)
{
    Router& router = routers_[request->router];
    SelectRequest selection;
    selection.service = service;
    selection.excluded = request->excluded;
    selection.memory = request->memory;
    const auto choice = router.selector->choose(selection, *router.table, now_);
    if (!choice) {
        const bool waits = router.selector->noChoice() == NoChoice::AllFull;
        refused_ += waits ? 0 : 1;
        return !waits;
    }
    request->attempt = AttemptId { ++lastAttempt_ };
    request->serverId = choice->backend;
    request->server = std::stoul(choice->backend.value().substr(1));
    request->inProgress = true;
    DispatchFacts facts;
    facts.memory = request->memory;
    facts.timeLeft = timeLeft;
    router.table->onDispatched(choice->backend, request->attempt, facts, now_);
    push(now_ + oneWay, Step::Arrives, request);
    if (request->leaves) {
        const double part = std::uniform_real_distribution<double>(0, 1)(random_);
        push(now_ + std::chrono::duration_cast<Duration>(pattern_.work * part), Step::Left, request);
    }
    return true;
}

void BrittleFleet::dispatchWaiting(std::size_t router)
{
    auto& waiting = routers_[router].waiting;
    while (!waiting.empty()) {
        if (now_ - waiting.front()->arrivedAt > patience) {
            ++refused_;
        } else if (!dispatch(waiting.front())) {
            return;
        }
        waiting.pop_front();
    }
}

void BrittleFleet::handleDue()
{
    const Instant until = now_;
    while (!due_.empty() && due_.top().at <= until) {
        const Due due = due_.top();
        due_.pop();
        now_ = due.at;
        handle(due);
    }
    now_ = until;
}

void BrittleFleet::handle(const Due& due)
{
    switch (due.step) {
    case Step::Arrives:
        arriveAtServer(due.request);
        break;
    case Step::Ends:
        onRunEnded(due);
        break;
    case Step::TurnedAway:
    case Step::Answered:
    case Step::Lost:
        onAnswer(due);
        break;
    case Step::Left:
        onCallerLeft(due.request);
        break;
    case Step::Stops:
        onStopped(due);
        break;
    case Step::Retry:
        if (due.request->process == routers_[due.request->router].process && !dispatch(due.request)) {
            routers_[due.request->router].waiting.push_back(due.request);
        }
        break;
    case Step::News:
        if (!cut_.contains(due.index)) {
            routers_[due.index].table->onShared(due.news, due.at);
        }
        break;
    case Step::Heartbeat:
        tellPeers(due.index, false);
        push(due.at + heartbeatPeriod, Step::Heartbeat, nullptr, due.index);
        break;
    case Step::Tick:
        routers_[due.index].table->tick(due.at);
        dispatchWaiting(due.index);
        push(due.at + tickPeriod, Step::Tick, nullptr, due.index);
        break;
    case Step::Up:
        servers_[due.index].up = true;
        ++servers_[due.index].life;
        listServers();
        break;
    }
}

void BrittleFleet::arriveAtServer(const std::shared_ptr<Request>& request)
{
    Server& server = servers_[request->server];
    if (!server.up || request->serverId != idOf(request->server)) {
        push(now_ + oneWay, Step::Lost, request);
    } else if (hasRoom(server, *request)) {
        start(request);
    } else if (server.queue.size() < pattern_.waiting) {
        server.queue.push_back(request);
    } else {
        turnAway(request);
    }
}

bool BrittleFleet::hasRoom(const Server& server, const Request& request) const
{
    const bool fits = !pattern_.memory || server.usedMemory + request.memory <= *pattern_.memory;
    return fits && server.running.size() < pattern_.slots;
}

void BrittleFleet::start(const std::shared_ptr<Request>& request)
{
    Server& server = servers_[request->server];
    server.running[request->attempt] = request->memory;
    server.usedMemory += request->memory;
    const double spread = std::uniform_real_distribution<double>(0.5, 1.5)(random_);
    const auto took = std::chrono::duration_cast<Duration>(pattern_.work * spread);
    push(now_ + took, Step::Ends, request, server.life);
}

void BrittleFleet::onRunEnded(const Due& due)
{
    Server& server = servers_[due.request->server];
    if (!server.up || server.life != due.index || !server.running.contains(due.request->attempt)) {
        return;
    }
    push(now_ + oneWay, Step::Answered, due.request);
    release(server, due.request->attempt);
}

void BrittleFleet::onStopped(const Due& due)
{
    Server& server = servers_[due.request->server];
    if (!server.up || server.life != due.index) {
        return;
    }
    std::erase(server.queue, due.request);
    if (server.running.contains(due.request->attempt)) {
        release(server, due.request->attempt);
    }
}

void BrittleFleet::release(Server& server, AttemptId attempt)
{
    server.usedMemory -= server.running.at(attempt);
    server.running.erase(attempt);
    // What a router that was killed had sent runs on; what waits is dropped.
    while (!server.queue.empty() && hasRoom(server, *server.queue.front())) {
        const auto next = server.queue.front();
        server.queue.pop_front();
        if (next->process == routers_[next->router].process) {
            start(next);
        }
    }
}

void BrittleFleet::onCallerLeft(const std::shared_ptr<Request>& request)
{
    Router& router = routers_[request->router];
    if (!request->inProgress || request->process != router.process) {
        return;
    }
    request->inProgress = false;
    router.table->onFinished(request->serverId, request->attempt, { EndKind::Cancelled, {}, {}, std::nullopt }, now_);
    if (request->serverId == idOf(request->server)) {
        push(now_ + oneWay + pattern_.runOn, Step::Stops, request, servers_[request->server].life);
    }
    dispatchWaiting(request->router);
}

void BrittleFleet::turnAway(const std::shared_ptr<Request>& request)
{
    push(now_ + oneWay, Step::TurnedAway, request);
    ++turnedAwayCount_;
    if (!brittle_ || now_ - brittleSince_ < contactTime) {
        return;
    }
    std::deque<Instant>& times = servers_[request->server].turnedAway;
    times.push_back(now_);
    while (now_ - times.front() > seconds(1)) {
        times.pop_front();
    }
    if (static_cast<double>(times.size()) > pattern_.bearable) {
        fall(request->server);
    }
}

void BrittleFleet::fall(std::size_t index)
{
    ++falls_;
    Server& server = servers_[index];
    server.up = false;
    server.running.clear();
    server.usedMemory = {};
    server.queue.clear();
    server.turnedAway.clear();
    push(now_ + downTime, Step::Up, nullptr, index);
    for (Router& router : routers_) {
        router.table->onLeaving(idOf(index), now_ + oneWay);
    }
}

void BrittleFleet::onAnswer(const Due& due)
{
    const auto& request = due.request;
    Router& router = routers_[request->router];
    if (request->process != router.process || !request->inProgress) {
        return;
    }
    request->inProgress = false;
    const bool served = due.step == Step::Answered;
    const bool lost = due.step == Step::Lost;
    if (!lost) {
        router.table->onAnnounced(request->serverId, announcement(), now_);
    }
    const EndKind kind = served ? EndKind::Completed : (lost ? EndKind::Broken : EndKind::NotStarted);
    router.table->onFinished(request->serverId, request->attempt,
        { kind, {}, {}, lost ? std::nullopt : std::optional(announcement()) }, now_);
    for (const TurnedAway& each : router.table->takeTurnedAway()) {
        turnedAwayInPart_ += each.place == RoomPlace::Part ? 1 : 0;
    }
    served_ += served ? 1 : 0;
    tellPeers(request->router, true);
    if (!served) {
        request->excluded.insert(request->serverId);
        const double extra = retryBound.extra / static_cast<double>(pattern_.routers);
        if (request->excluded.size() < maxArrivals && router.retries->reserve(extra, now_)) {
            router.retries->onSent(now_);
            push(now_, Step::Retry, request);
        } else {
            ++refused_;
        }
    }
    dispatchWaiting(request->router);
}

void BrittleFleet::tellPeers(std::size_t router, bool urgentOnly)
{
    BackendTable& table = *routers_[router].table;
    const bool urgent = table.takeUrgentNews();
    if ((urgentOnly && !urgent) || cut_.contains(router) || removed_.contains(router)) {
        return;
    }
    const auto news = table.toShare(now_);
    for (std::size_t peer = 0; peer < pattern_.routers; ++peer) {
        if (peer != router && !news.empty()) {
            push(now_ + peerOneWay, Step::News, nullptr, peer, news);
        }
    }
}

} // namespace swiftlift::routing::test
