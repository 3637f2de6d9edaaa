#include "transport/PassageTable.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "swiftlift/transport/CallerText.h"
#include "swiftlift/transport/DecisionLoop.h"
#include "swiftlift/transport/Hashing.h"
#include "transport/PassageText.h"

namespace swiftlift::transport::internal {

namespace {

    constexpr int statusReady = 200;
    constexpr int statusNotReady = 503;

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

    node::PassageEnd toEnd(AttemptResult result)
    {
        switch (result) {
        case AttemptResult::Completed:
            return node::PassageEnd::Completed;
        case AttemptResult::Unreachable:
            return node::PassageEnd::Unreachable;
        case AttemptResult::Refused:
        case AttemptResult::Leaving:
            return node::PassageEnd::Refused;
        case AttemptResult::Misdirected:
            return node::PassageEnd::Misdirected;
        case AttemptResult::Failed:
            return node::PassageEnd::Failed;
        case AttemptResult::Broken:
            return node::PassageEnd::Broken;
        }
        return node::PassageEnd::Broken;
    }

} // namespace

PassageTable::PassageTable(StreamContext& context, std::shared_ptr<const PassageDialect> dialect)
    : context_(context)
    , dialect_(std::move(dialect))
    , pool_(context)
    , intake_({ context.limits.mostLag, context.limits.mostDecisionsWaiting, context.limits.linkBytesPerSecond })
{
}

void PassageTable::accept(boost::asio::ip::tcp::socket socket) { addCaller(std::move(socket), false); }
void PassageTable::acceptReadiness(boost::asio::ip::tcp::socket socket) { addCaller(std::move(socket), true); }

void PassageTable::addCaller(boost::asio::ip::tcp::socket socket, bool asksReadiness)
{
    if (connections_.size() >= context_.limits.connections) {
        ++context_.counts.overloaded;
        return;
    }
    const auto connection = std::make_shared<CallerConnection>(context_, *this, std::move(socket));
    connections_.insert(connection);
    if (asksReadiness) {
        readinessAskers_.insert(connection.get());
    }
    connection->start();
}

void PassageTable::answerReadiness(CallerConnection& connection)
{
    const AnswerHead head { readiness_.ready && wantsCallers() ? statusReady : statusNotReady, {} };
    connection.reply(answerHeadText(head, Framing::Length, 0, connection.keepAlive()));
}

void PassageTable::requestCame(CallerConnection& connection, CallerMessage&& request)
{
    if (readinessAskers_.contains(&connection)) {
        answerReadiness(connection);
        return;
    }
    // A caller that keeps its connection stays with this VM, whatever the platform's entry knows.
    if (readiness_.closing || !wantsCallers()) {
        connection.closeWhenIdle();
    }
    RequestHead head = headOf(request);
    auto facts = dialect_->facts(head);
    if (const auto* refused = std::get_if<node::Reply>(&facts)) {
        writeRefusal(connection, *dialect_, *refused, {});
        return;
    }
    auto& known = std::get<node::PassageFacts>(facts);
    const CallId id(++lastNumber_);
    const std::string requestId = known.id;
    known.content = contentDigest(head.method, known.host, head.target, request.body());
    if (!takenIn(connection, requestId)) {
        return;
    }
    TaggedEvent event { Incarnation {}, node::PassageArrived { id, std::move(known), steadyInstant() } };
    if (!context_.decisions.tryPush(std::move(event), reservedEvents)) {
        refuseOverloaded(connection, requestId);
        return;
    }
    calls_.emplace(id,
        std::make_shared<PassageCall>(
            context_, *dialect_, id, std::move(head), std::move(request.body()), requestId, connection));
    connection.setCall(id);
}

bool PassageTable::takenIn(CallerConnection& connection, const std::string& requestId)
{
    const auto lag = std::chrono::duration_cast<Duration>(context_.lag);
    const routing::IntakeLoad load { lag, context_.decisions.size(), connection.ended() };
    switch (intake_.onRequest(load, steadyInstant())) {
    case routing::IntakeVerdict::TakeIn:
        return true;
    case routing::IntakeVerdict::Refuse:
        refuseOverloaded(connection, requestId);
        return false;
    case routing::IntakeVerdict::Drop:
        dropLeft(connection, requestId);
        return false;
    }
    return false;
}

void PassageTable::dropLeft(CallerConnection& connection, const std::string& requestId)
{
    ++context_.counts.leftUnread;
    context_.log.write(logging::Level::Info, "caller_gone",
        { { "request", requestId }, { "outcome", std::string("not_run") },
            { "detail", std::string("left before its request was read") } });
    connection.close();
}

bool PassageTable::wantsCallers()
{
    const bool wanted = intake_.ready(steadyInstant());
    if (wanted != std::exchange(wantedCallers_, wanted)) {
        context_.log.write(logging::Level::Info, "intake",
            { { "wants_callers", wanted }, { "overloaded", static_cast<std::int64_t>(context_.counts.overloaded) },
                { "left_unread", static_cast<std::int64_t>(context_.counts.leftUnread) } });
    }
    return wanted;
}

void PassageTable::refuseOverloaded(CallerConnection& connection, const std::string& requestId)
{
    ++context_.counts.overloaded;
    const node::Reply reply = overloadedRefusal("the router has too much waiting");
    context_.log.write(logging::Level::Info, "refuse",
        { { "request", requestId }, { "outcome", std::string("not_run") }, { "status", std::int64_t { reply.status } },
            { "reason", reply.reason },
            { "lag_ms", std::int64_t { std::chrono::duration_cast<std::chrono::milliseconds>(context_.lag).count() } },
            { "decisions_waiting", static_cast<std::int64_t>(context_.decisions.size()) } });
    writeRefusal(connection, *dialect_, reply, requestId);
}

void PassageTable::requestUnreadable(CallerConnection& connection, const UnreadableRequest& why)
{
    context_.log.write(logging::Level::Info, "unreadable_request",
        { { "status", std::int64_t { why.status } }, { "reason", why.reason }, { "detail", why.detail } });
    writeRefusal(connection, *dialect_, refusal(why.status, why.reason, why.detail), {});
}

void PassageTable::callerGone(CallerConnection& connection)
{
    if (const auto call = take(*connection.call())) {
        context_.events.push({ Incarnation {}, node::PassageAbandoned { call->id(), call->events() } });
        call->callerGone();
        running_.resume(call->id());
    }
}

void PassageTable::callerDrained(CallerConnection& connection) { running_.resume(*connection.call()); }

void PassageTable::connectionClosed(CallerConnection& connection)
{
    readinessAskers_.erase(&connection);
    connections_.erase(connection.shared_from_this());
}

void PassageTable::answerPartCame(Attempt& attempt, std::string part)
{
    Running* const found = running_.find(attempt.id());
    if (found == nullptr) {
        return;
    }
    Running& running = *found;
    running.call->passEvent(std::move(part));
    if (running.reportedEvents == 0) {
        reportFirstEvent(running);
    }
    if (running.call->callerIsSlow()) {
        ++context_.counts.pauses;
        attempt.pause();
    }
}

void PassageTable::attemptEnded(Attempt& attempt, AttemptResult result, std::string detail)
{
    const auto running = running_.take(attempt.id());
    if (!running) {
        return;
    }
    if (result == AttemptResult::Completed) {
        running->call->passEnd();
        calls_.erase(running->call->id());
    } else if (result == AttemptResult::Failed) {
        running->call->keepFailure();
    }
    context_.events.push({ context_.incarnation,
        node::PassageEnded { attempt.id(), toEnd(result), attempt.status(), running->call->events(), std::move(detail),
            attempt.connectionLost() } });
}

void PassageTable::carryOut(StreamCommand&& command)
{
    std::visit([this](auto&& order) { carryOut(std::forward<decltype(order)>(order)); }, std::move(command));
}

void PassageTable::carryOut(node::PassOn&& order)
{
    const auto found = calls_.find(order.call);
    if (found == calls_.end() || running_.contains(order.attempt)) {
        context_.events.push({ context_.incarnation,
            node::PassageEnded { order.attempt, node::PassageEnd::Unreachable, 0, 0, "the caller is gone" } });
        return;
    }
    const auto call = found->second;
    // A caller's leaving may wait to be read behind much else. Sent on nevertheless, its request would work for nobody.
    if (call->callerHasLeft()) {
        context_.events.push({ Incarnation {}, node::PassageAbandoned { call->id(), call->events() } });
        calls_.erase(found);
        return;
    }
    const auto attempt = std::make_shared<Attempt>(context_, *this, pool_, orderOf(order, *call));
    running_.add(order.attempt, Running { attempt, call, call->events() });
    attempt->start();
}

AttemptOrder PassageTable::orderOf(const node::PassOn& passOn, PassageCall& call) const
{
    AttemptOrder order;
    order.attempt = passOn.attempt;
    order.call = passOn.call;
    order.backend = passOn.backend;
    order.address = passOn.address;
    order.request = call.requestFor(passOn);
    order.reuse = passOn.silenceLimit ? Reuse::Any : Reuse::Fresh;
    order.silenceLimit = passOn.silenceLimit.value_or(passOn.timeLeft + context_.limits.connectTime);
    order.name = call.requestId();
    const ExpectedAnswer expected { dialect_.get(), call.requestId(), context_.limits.answerBytes,
        context_.limits.lineBytes };
    const bool events = passOn.answer == fleet::AnswerKind::Events;
    order.makeReader = [expected, events, &call](AnswerSink sink) -> std::shared_ptr<AnswerReader> {
        // The call goes on reading the answer's head and body after the attempt has ended.
        std::shared_ptr<PassageReader> reader;
        if (events) {
            reader = std::make_shared<EventPassageReader>(expected, std::move(sink), call.lastEvent());
        } else {
            reader = std::make_shared<WholePassageReader>(expected);
        }
        call.readBy(reader);
        return reader;
    };
    return order;
}

void PassageTable::carryOut(node::PassFailureOn&& order)
{
    if (const auto call = take(order.call)) {
        call->passFailure();
        reportCut(*call);
    }
}

// The bill of what a backend server has had waits for what its caller has been given.
void PassageTable::reportCut(const PassageCall& call)
{
    if (call.offered()) {
        context_.events.push({ Incarnation {}, node::PassageAbandoned { call.id(), call.events() } });
    }
}

void PassageTable::carryOut(node::CancelAttempt&& cancel) { running_.cancel(cancel.attempt); }

void PassageTable::carryOut(node::Reply&& reply)
{
    if (const auto call = take(reply.call)) {
        call->finish(reply);
        reportCut(*call);
    }
}

void PassageTable::carryOut(node::AnnounceReadiness&& readiness)
{
    readiness_ = readiness;
    if (readiness.closing) {
        closeIdleConnections();
    }
}

void PassageTable::carryOut(node::SetCallerLimits&& limits)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    context_.limits.headerBytes = static_cast<std::uint32_t>(limits.limits.headerBytes);
    context_.limits.bodyBytes = limits.limits.bodyBytes;
    context_.limits.headerTime = duration_cast<milliseconds>(limits.limits.headerTime);
    context_.limits.idleTime = duration_cast<milliseconds>(limits.limits.idleTime);
}

void PassageTable::carryOut(BeginIncarnation&& begin)
{
    context_.incarnation = begin.incarnation;
    // The former core said that nothing is in progress; what runs nevertheless can't be told to anybody any more.
    running_.cancelAll();
}

void PassageTable::reportFirstEvent(Running& running)
{
    running.reportedEvents = running.call->events();
    context_.events.push(
        { context_.incarnation, node::PassageProgress { running.attempt->id(), running.reportedEvents } });
}

void PassageTable::sweep()
{
    context_.events.flush();
    pool_.sweep();
    intake_.onTraffic(context_.traffic, steadyInstant());
}

void PassageTable::closeIdleConnections()
{
    const auto connections = connections_;
    for (const auto& connection : connections) {
        if (!readinessAskers_.contains(connection.get())) {
            connection->closeWhenIdle();
        }
    }
}

void PassageTable::closeAll()
{
    running_.cancelAll();
    closeConnections(connections_);
    calls_.clear();
    pool_.clear();
}

StreamCounts PassageTable::counts() const
{
    StreamCounts counts = context_.counts;
    counts.connections = connections_.size();
    counts.attempts = running_.size();
    counts.calls = calls_.size();
    return counts;
}

std::shared_ptr<PassageCall> PassageTable::take(CallId call)
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
