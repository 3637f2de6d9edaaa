#include "transport/ProxyCallTable.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "swiftlift/transport/CallerText.h"
#include "swiftlift/transport/DecisionLoop.h"
#include "swiftlift/transport/Hashing.h"
#include "swiftlift/transport/Metrics.h"
#include "transport/ProxyText.h"

namespace swiftlift::transport::internal {

namespace {

    constexpr int statusReady = 200;
    constexpr int statusNotReady = 503;

    routing::LoadShedderLimits shedderLimits(const StreamLimits& limits)
    {
        return { limits.maxLag, limits.maxDecisionsWaiting, limits.linkBytesPerSecond, limits.readyEventDelay,
            limits.maxEventDelay, limits.cpuCores };
    }

    /** @return CPU time that this process has used. */
    Duration processCpuTime()
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(processCpuSeconds()));
    }

    std::int64_t toMilliseconds(std::chrono::nanoseconds time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

    RequestHead headOf(const CallerMessage& message)
    {
        RequestHead head;
        head.method = std::string(message.method_string());
        head.target = std::string(message.target());
        for (const auto& field : message) {
            const auto name = field.name_string();
            const auto value = field.value();
            head.fields.push_back({ { name.data(), name.size() }, { value.data(), value.size() } });
        }
        return head;
    }

    node::ProxyAttemptEnd toAttemptEnd(AttemptResult result)
    {
        switch (result) {
        case AttemptResult::Completed:
            return node::ProxyAttemptEnd::Completed;
        case AttemptResult::Unreachable:
            return node::ProxyAttemptEnd::Unreachable;
        case AttemptResult::Refused:
        case AttemptResult::Leaving:
            return node::ProxyAttemptEnd::Refused;
        case AttemptResult::Misdirected:
            return node::ProxyAttemptEnd::Misdirected;
        case AttemptResult::Failed:
            return node::ProxyAttemptEnd::Failed;
        case AttemptResult::Broken:
            return node::ProxyAttemptEnd::Broken;
        }
        return node::ProxyAttemptEnd::Broken;
    }

} // namespace

ProxyCallTable::ProxyCallTable(StreamContext& context, std::shared_ptr<const ProxyDialect> dialect)
    : context_(context)
    , dialect_(std::move(dialect))
    , pool_(context)
    , silence_(context)
    , loadShedder_(shedderLimits(context.limits))
{
}

void ProxyCallTable::accept(boost::asio::ip::tcp::socket socket) { addCaller(std::move(socket), false); }
void ProxyCallTable::acceptReadiness(boost::asio::ip::tcp::socket socket) { addCaller(std::move(socket), true); }

void ProxyCallTable::addCaller(boost::asio::ip::tcp::socket socket, bool isReadinessCheck)
{
    if (connections_.size() >= context_.limits.connections) {
        ++context_.counts.overloaded;
        return;
    }
    const auto connection = std::make_shared<CallerConnection>(context_, *this, std::move(socket));
    connections_.insert(connection);
    if (isReadinessCheck) {
        readinessConnections_.insert(connection.get());
    }
    connection->start();
}

void ProxyCallTable::answerReadiness(CallerConnection& connection)
{
    const AnswerHead head { readiness_.ready && acceptsNewCallers() ? statusReady : statusNotReady, {} };
    connection.reply(answerHeadText(head, Framing::Length, 0, connection.keepAlive()));
}

void ProxyCallTable::requestReceived(CallerConnection& connection, CallerMessage&& request)
{
    if (readinessConnections_.contains(&connection)) {
        answerReadiness(connection);
        return;
    }
    // A caller with an open connection keeps using this VM, even if the load balancer sends new callers elsewhere.
    if (readiness_.closing || !acceptsNewCallers()) {
        connection.closeAfterAnswer();
    }
    RequestHead head = headOf(request);
    auto facts = dialect_->facts(head);
    if (const auto* refused = std::get_if<node::Reply>(&facts)) {
        writeRefusal(connection, *dialect_, *refused, {});
        return;
    }
    auto& info = std::get<node::ProxyRequestInfo>(facts);
    const CallId id(++lastCallNumber_);
    const std::string requestId = info.id;
    info.content = contentDigest(head.method, info.host, head.target, request.body());
    if (!admit(connection, requestId)) {
        return;
    }
    TaggedEvent event { Incarnation {}, node::ProxyRequestArrived { id, std::move(info), steadyInstant() } };
    if (!context_.decisions.tryPush(std::move(event), reservedEvents)) {
        refuseOverloaded(connection, requestId, {});
        return;
    }
    calls_.emplace(id,
        std::make_shared<ProxyCall>(
            context_, *dialect_, id, std::move(head), std::move(request.body()), requestId, connection));
    connection.setCall(id);
}

bool ProxyCallTable::admit(CallerConnection& connection, const std::string& requestId)
{
    const Instant now = steadyInstant();
    const routing::ObservedLoad load { std::chrono::duration_cast<Duration>(context_.lag), context_.decisions.size(),
        connection.closedByPeer(), context_.decisions.delay().recent(now) };
    if (context_.holdsTooMuch()) {
        refuseOverloaded(connection, requestId, load);
        return false;
    }
    switch (loadShedder_.onRequest(load, now)) {
    case routing::LoadShedVerdict::Accept:
        return true;
    case routing::LoadShedVerdict::Refuse:
        refuseOverloaded(connection, requestId, load);
        return false;
    case routing::LoadShedVerdict::Drop:
        dropDisconnected(connection, requestId);
        return false;
    }
    return false;
}

void ProxyCallTable::dropDisconnected(CallerConnection& connection, const std::string& requestId)
{
    ++context_.counts.leftUnread;
    context_.log.write(logging::Level::Info, "caller_gone",
        { { "request", requestId }, { "outcome", std::string("not_run") },
            { "detail", std::string("left before its request was read") } });
    connection.close();
}

bool ProxyCallTable::acceptsNewCallers()
{
    const Instant now = steadyInstant();
    loadShedder_.onEventDelay(context_.decisions.delay().recent(now), now);
    const bool accepts = loadShedder_.ready(now);
    const routing::NotReadyCause cause = loadShedder_.notReadyCause(now);
    reportOverload(cause == routing::NotReadyCause::Lag || cause == routing::NotReadyCause::Cpu);
    if (accepts != std::exchange(acceptedNewCallers_, accepts)) {
        context_.log.write(logging::Level::Info, "intake",
            { { "wants_callers", accepts }, { "cause", std::string(toText(cause)) },
                { "event_delay_ms", toMilliseconds(context_.decisions.delay().recent(now)) },
                { "cpu_share", loadShedder_.cpuShare() },
                { "overloaded", static_cast<std::int64_t>(context_.counts.overloaded) },
                { "left_unread", static_cast<std::int64_t>(context_.counts.leftUnread) } });
    }
    return accepts;
}

void ProxyCallTable::reportOverload(bool overloaded)
{
    if (overloaded != std::exchange(reportedOverload_, overloaded)) {
        context_.events.push({ Incarnation {}, node::OverloadChanged { overloaded } });
    }
}

void ProxyCallTable::refuseOverloaded(
    CallerConnection& connection, const std::string& requestId, const routing::ObservedLoad& load)
{
    ++context_.counts.overloaded;
    node::Reply reply = overloadedRefusal("the router's decision queue is full or its load is too high");
    reply.retryAfter = routing::LoadShedder::retryAfter(load);
    context_.log.write(logging::Level::Info, "refuse",
        { { "request", requestId }, { "outcome", std::string("not_run") }, { "status", std::int64_t { reply.status } },
            { "reason", reply.reason }, { "lag_ms", toMilliseconds(context_.lag) },
            { "event_delay_ms", toMilliseconds(load.eventDelay) },
            { "decisions_waiting", static_cast<std::int64_t>(context_.decisions.size()) },
            { "held_bytes", static_cast<std::int64_t>(context_.held->bytes) } });
    writeRefusal(connection, *dialect_, reply, requestId);
}

void ProxyCallTable::requestRejected(CallerConnection& connection, const RejectedRequest& rejected)
{
    context_.log.write(logging::Level::Info, "unreadable_request",
        { { "status", std::int64_t { rejected.status } }, { "reason", rejected.reason },
            { "detail", rejected.detail } });
    writeRefusal(connection, *dialect_, refusal(rejected.status, rejected.reason, rejected.detail), {});
}

void ProxyCallTable::callerDisconnected(CallerConnection& connection)
{
    if (const auto call = take(*connection.call())) {
        context_.events.push({ Incarnation {}, node::ProxyRequestAbandoned { call->id(), call->events() } });
        call->callerDisconnected();
        running_.resume(call->id());
    }
}

void ProxyCallTable::callerDrained(CallerConnection& connection) { running_.resume(*connection.call()); }

void ProxyCallTable::connectionClosed(CallerConnection& connection)
{
    readinessConnections_.erase(&connection);
    connections_.erase(connection.shared_from_this());
}

void ProxyCallTable::answerPartReceived(Attempt& attempt, std::string part)
{
    Running* const found = running_.find(attempt.id());
    if (found == nullptr) {
        return;
    }
    Running& running = *found;
    running.call->forwardEvent(std::move(part));
    if (running.reportedEvents == 0) {
        reportFirstEvent(running);
    }
    if (running.call->callerIsSlow()) {
        ++context_.counts.pauses;
        attempt.pause();
    }
}

void ProxyCallTable::attemptEnded(Attempt& attempt, AttemptResult result, std::string detail)
{
    const auto running = running_.take(attempt.id());
    if (!running) {
        return;
    }
    if (result == AttemptResult::Completed) {
        running->call->forwardEnd();
        calls_.erase(running->call->id());
    } else if (result == AttemptResult::Failed) {
        running->call->storeFailure();
    }
    context_.events.push({ context_.incarnation,
        node::ProxyAttemptEnded { attempt.id(), toAttemptEnd(result), attempt.status(), running->call->events(),
            std::move(detail), attempt.connectionLost(), attempt.announcement(), attempt.connectFailure() } });
}

void ProxyCallTable::execute(StreamCommand&& command)
{
    std::visit([this](auto&& order) { execute(std::forward<decltype(order)>(order)); }, std::move(command));
}

void ProxyCallTable::execute(node::ProxyDispatch&& order)
{
    const auto found = calls_.find(order.call);
    if (found == calls_.end() || running_.contains(order.attempt)) {
        context_.events.push({ context_.incarnation,
            node::ProxyAttemptEnded {
                order.attempt, node::ProxyAttemptEnd::Unreachable, 0, 0, "the caller has disconnected" } });
        return;
    }
    const auto call = found->second;
    // The event loop may not have processed the caller's disconnect yet. Dispatched nevertheless, the request would use
    // a backend server without a recipient for the answer.
    if (call->callerHasDisconnected()) {
        context_.events.push({ Incarnation {}, node::ProxyRequestAbandoned { call->id(), call->events() } });
        calls_.erase(found);
        return;
    }
    const auto attempt = std::make_shared<Attempt>(context_, *this, pool_, makeOrder(order, *call));
    running_.add(order.attempt, Running { attempt, call, call->events() });
    attempt->start();
}

AttemptOrder ProxyCallTable::makeOrder(const node::ProxyDispatch& dispatch, ProxyCall& call) const
{
    AttemptOrder order;
    order.attempt = dispatch.attempt;
    order.call = dispatch.call;
    order.backend = dispatch.backend;
    order.address = dispatch.address;
    order.relay = dispatch.relay;
    order.request = call.backendRequest(dispatch);
    order.reuse = dispatch.silenceLimit ? Reuse::Any : Reuse::Fresh;
    order.silenceLimit = dispatch.silenceLimit.value_or(dispatch.timeLeft + context_.limits.connectTime);
    order.name = call.requestId();
    const ExpectedAnswer expected { dialect_.get(), call.requestId(), context_.limits.answerBytes,
        context_.limits.lineBytes };
    const bool events = dispatch.answer == fleet::AnswerKind::Events;
    order.makeReader = [expected, events, &call](AnswerSink sink) -> std::shared_ptr<AnswerReader> {
        // Shared with the call, which uses the answer's head and body after the attempt has ended.
        std::shared_ptr<ProxyAnswerReader> reader;
        if (events) {
            reader = std::make_shared<ProxyEventReader>(expected, std::move(sink), call.lastEvent());
        } else {
            reader = std::make_shared<ProxyWholeReader>(expected);
        }
        call.setReader(reader);
        return reader;
    };
    return order;
}

void ProxyCallTable::execute(node::ProxyFailureReply&& order)
{
    if (const auto call = take(order.call)) {
        call->forwardFailure();
        reportAbandoned(*call);
    }
}

// The core bills a dispatched request only once it has the number of events that the caller was sent.
void ProxyCallTable::reportAbandoned(const ProxyCall& call)
{
    if (call.dispatched()) {
        context_.events.push({ Incarnation {}, node::ProxyRequestAbandoned { call.id(), call.events() } });
    }
}

void ProxyCallTable::execute(node::CancelAttempt&& cancel) { running_.cancel(cancel.attempt); }

void ProxyCallTable::execute(node::Reply&& reply)
{
    if (const auto call = take(reply.call)) {
        call->finish(reply);
        reportAbandoned(*call);
    }
}

void ProxyCallTable::execute(node::AnnounceReadiness&& readiness)
{
    readiness_ = readiness;
    loadShedder_.setOverloadLimitReached(readiness.overloadLimitReached);
    if (readiness.refusing) {
        closeIdleConnections();
        return;
    }
    // An idle connection stays open: a request may be on its way there, which would end without an answer.
    if (readiness.closing) {
        for (const auto& connection : callers()) {
            connection->closeAfterAnswer();
        }
    }
}

void ProxyCallTable::execute(node::SetCallerLimits&& limits)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    context_.limits.headerBytes = static_cast<std::uint32_t>(limits.limits.headerBytes);
    context_.limits.bodyBytes = limits.limits.bodyBytes;
    context_.limits.headerTime = duration_cast<milliseconds>(limits.limits.headerTime);
    context_.limits.idleTime = duration_cast<milliseconds>(limits.limits.idleTime);
}

void ProxyCallTable::execute(BeginIncarnation&& begin)
{
    context_.incarnation = begin.incarnation;
    // The new core doesn't know what the previous one was told.
    reportedOverload_ = false;
    // The previous core reported that nothing is in progress, so the result of a running attempt has no recipient.
    running_.cancelAll();
}

void ProxyCallTable::reportFirstEvent(Running& running)
{
    running.reportedEvents = running.call->events();
    context_.events.push(
        { context_.incarnation, node::ProxyAttemptProgress { running.attempt->id(), running.reportedEvents } });
}

void ProxyCallTable::sweep()
{
    context_.events.flush();
    pool_.sweep();
    closeSlowCallers(context_, connections_);
    silence_.sweep(running_);
    observeLoad();
}

void ProxyCallTable::observeLoad()
{
    const Instant now = steadyInstant();
    loadShedder_.onTraffic(context_.traffic, now);
    if (context_.limits.cpuCores > 0) {
        loadShedder_.onCpuTime(processCpuTime(), now);
    }
    // Without probes and requests, peers still have to be told when an overload begins or ends.
    static_cast<void>(acceptsNewCallers());
}

void ProxyCallTable::closeIdleConnections()
{
    for (const auto& connection : callers()) {
        connection->closeWhenIdle();
    }
}

std::vector<std::shared_ptr<CallerConnection>> ProxyCallTable::callers() const
{
    std::vector<std::shared_ptr<CallerConnection>> callers;
    std::ranges::copy_if(connections_, std::back_inserter(callers),
        [this](const auto& connection) { return !readinessConnections_.contains(connection.get()); });
    return callers;
}

void ProxyCallTable::closeAll()
{
    running_.cancelAll();
    closeConnections(connections_);
    calls_.clear();
    pool_.clear();
}

StreamCounts ProxyCallTable::counts() const
{
    StreamCounts counts = context_.counts;
    counts.connections = connections_.size();
    counts.attempts = running_.size();
    counts.calls = calls_.size();
    counts.cpuShare = loadShedder_.cpuShare();
    return counts;
}

std::shared_ptr<ProxyCall> ProxyCallTable::take(CallId call)
{
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return nullptr;
    }
    auto taken = found->second;
    calls_.erase(found);
    return taken;
}

} // namespace swiftlift::transport::internal
