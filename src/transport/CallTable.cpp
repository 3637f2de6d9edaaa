#include "transport/CallTable.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include <boost/asio/write.hpp>

#include "swiftlift/transport/Hashing.h"
#include "transport/HttpText.h"
#include "transport/JsonCaller.h"

namespace swiftlift::transport::internal {

namespace {

    std::string header(const CallerMessage& message, const char* name)
    {
        const auto value = message[name];
        return { value.data(), value.size() };
    }

    RawRequest toRawRequest(CallerMessage&& message)
    {
        RawRequest raw;
        raw.method = std::string(message.method_string());
        raw.target = std::string(message.target());
        raw.authorization = header(message, "Authorization");
        raw.account = header(message, "Swiftlift-Account");
        raw.requestId = header(message, "Swiftlift-Request-Id");
        raw.attempt = header(message, "Swiftlift-Attempt");
        raw.deadline = header(message, "Swiftlift-Deadline-Ms");
        raw.idempotent = header(message, "Swiftlift-Idempotent");
        raw.priority = header(message, "Swiftlift-Priority");
        raw.stream = header(message, "Swiftlift-Stream");
        raw.body = std::move(message.body());
        return raw;
    }

    node::AttemptEnd toAttemptEnd(AttemptResult result)
    {
        switch (result) {
        case AttemptResult::Completed:
            return node::AttemptEnd::Completed;
        case AttemptResult::Unreachable:
        case AttemptResult::Refused:
        case AttemptResult::Misdirected:
            return node::AttemptEnd::NotStarted;
        case AttemptResult::Leaving:
            return node::AttemptEnd::Leaving;
        case AttemptResult::Failed:
        case AttemptResult::Broken:
            return node::AttemptEnd::Broken;
        }
        return node::AttemptEnd::Broken;
    }

    std::string requestBytes(
        const node::Dispatch& dispatch, const std::string& attempt, std::int64_t next, bool keepAlive)
    {
        const bool model = dispatch.kind == node::BackendKind::Model;
        auto request = jsonPost(dispatch.backend.value(), model ? "/generate" : "/call", dispatch.body);
        request.set("X-Request-Key", toHex(dispatch.key));
        request.set("X-Attempt-Id", attempt);
        if (model) {
            request.set("X-Priority", std::to_string(static_cast<int>(dispatch.priority)));
        }
        if (model && next > 0) {
            request.set("X-Resume-From", std::to_string(next));
        }
        request.keep_alive(keepAlive);
        return toBytes(request);
    }

} // namespace

CallTable::CallTable(StreamContext& context)
    : context_(context)
    , pool_(context)
    , silence_(context)
{
}

void CallTable::accept(boost::asio::ip::tcp::socket socket)
{
    if (connections_.size() < context_.limits.connections) {
        const auto connection = std::make_shared<CallerConnection>(context_, *this, std::move(socket));
        connections_.insert(connection);
        connection->start();
        return;
    }
    ++context_.counts.overloaded;
    auto refused = overloadedRefusal("too many open connections");
    // The request has not been read, so its attempt number is unknown.
    refused.outcome = node::Outcome::Unknown;
    const std::string bytes = jsonReply(refused.status, notAnsweredText({}, refused), false, refused.retryAfter);
    boost::system::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.write_some(boost::asio::buffer(bytes), ignored);
}

void CallTable::requestRejected(CallerConnection& connection, const RejectedRequest& rejected)
{
    auto refused = refusal(rejected.status, rejected.reason, rejected.detail);
    // Without the complete header, it is unknown whether this is the request's first attempt.
    refused.outcome = rejected.head == nullptr ? node::Outcome::Unknown
                                               : outcomeBeforeCore(header(*rejected.head, "Swiftlift-Attempt"));
    refuse(connection, refused, {});
}

void CallTable::requestReceived(CallerConnection& connection, CallerMessage&& message)
{
    ParsedRequest request = parseRequest(toRawRequest(std::move(message)));
    if (auto* call = std::get_if<node::CallerRequest>(&request)) {
        handleRequest(connection, std::move(*call));
    } else if (const auto* query = std::get_if<RequestStatusQuery>(&request)) {
        handleStatusQuery(connection, *query);
    } else {
        refuse(connection, std::get<node::Reply>(request), {});
    }
}

void CallTable::handleRequest(CallerConnection& connection, node::CallerRequest&& request)
{
    const CallId id(++lastCallNumber_);
    const auto call = std::make_shared<Call>(context_, id, request, connection);
    const std::string requestId = request.id.value();
    const std::string attempt = std::to_string(request.attempt);
    TaggedEvent event { Incarnation {}, node::RequestArrived { id, std::move(request) } };
    if (context_.holdsTooMuch() || !context_.decisions.tryPush(std::move(event), reservedEvents)) {
        ++context_.counts.overloaded;
        auto refused = overloadedRefusal("the router's decision queue is full or it holds too many bytes");
        refused.outcome = outcomeBeforeCore(attempt);
        refuse(connection, refused, requestId);
        return;
    }
    calls_.emplace(id, call);
    connection.setCall(id);
}

void CallTable::handleStatusQuery(CallerConnection& connection, const RequestStatusQuery& query)
{
    const std::uint64_t number = ++lastCallNumber_ | callersQuestion;
    const std::string argument = query.account.value() + "/" + query.id.value() + "/" + query.keyHash + "/"
        + toHex(requestKey(query.account, query.id));
    TaggedEvent event { Incarnation {}, node::OperatorAsked { number, "request", argument } };
    if (!context_.decisions.tryPush(std::move(event), reservedEvents)) {
        ++context_.counts.overloaded;
        refuse(connection, overloadedRefusal("the router's decision queue is full"), query.id.value());
        return;
    }
    statusQueries_[number]
        = { connection.weak_from_this(), std::chrono::steady_clock::now() + context_.limits.operatorTime };
}

void CallTable::refuse(CallerConnection& connection, const node::Reply& refusal, std::string_view requestId)
{
    replyJson(connection, refusal.status, notAnsweredText(requestId, refusal), refusal.retryAfter);
}

void CallTable::callerDisconnected(CallerConnection& connection)
{
    const CallId id = *connection.call();
    context_.events.push({ Incarnation {}, node::CallerDisconnected { id } });
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    found->second->callerDisconnected();
    running_.resume(id);
    calls_.erase(found);
}

void CallTable::callerDrained(CallerConnection& connection) { running_.resume(*connection.call()); }

void CallTable::connectionClosed(CallerConnection& connection) { connections_.erase(connection.shared_from_this()); }

void CallTable::answerPartReceived(Attempt& attempt, std::string part)
{
    Running* const found = running_.find(attempt.id());
    if (found == nullptr) {
        return;
    }
    Running& running = *found;
    running.call->addPart(part, !running.plain);
    if (running.reportedTokens == 0 && running.call->tokens() > 0) {
        reportProgress(running, true);
    }
    if (running.call->callerIsSlow()) {
        ++context_.counts.pauses;
        attempt.pause();
    }
}

void CallTable::attemptEnded(Attempt& attempt, AttemptResult result, std::string detail)
{
    const auto running = running_.take(attempt.id());
    if (!running) {
        return;
    }
    const DoneLine& counts = attempt.counts();
    if (result == AttemptResult::Completed) {
        running->call->answerCompleted(counts.promptTokens);
    }
    context_.events.push({ context_.incarnation,
        node::AttemptEnded { attempt.id(), toAttemptEnd(result), counts.promptTokens, Tokens(running->call->tokens()),
            counts.cachedPromptTokens, std::move(detail), attempt.announcement(), attempt.connectFailure() } });
}

void CallTable::execute(StreamCommand&& command)
{
    std::visit([this](auto&& order) { execute(std::forward<decltype(order)>(order)); }, std::move(command));
}

void CallTable::execute(node::Dispatch&& dispatch)
{
    const auto found = calls_.find(dispatch.call);
    if (found == calls_.end() || running_.contains(dispatch.attempt)) {
        reportNotStarted(dispatch);
        return;
    }
    const auto& call = found->second;
    const bool plain = dispatch.kind == node::BackendKind::Plain;
    const AttemptId id = dispatch.attempt;
    const auto attempt = std::make_shared<Attempt>(context_, *this, pool_, makeOrder(std::move(dispatch), *call));
    running_.add(id, Running { attempt, call, plain, 0 });
    attempt->start();
}

AttemptOrder CallTable::makeOrder(node::Dispatch&& dispatch, Call& call)
{
    const std::int64_t next = call.prepareAttempt(dispatch);
    const std::string attempt = toHex(context_.incarnation.value()) + "-" + std::to_string(dispatch.attempt.value());
    const std::string key = toHex(dispatch.key);
    AttemptOrder order;
    order.attempt = dispatch.attempt;
    order.call = dispatch.call;
    order.backend = dispatch.backend;
    order.address = BackendAddress(dispatch.backend.value());
    order.relay = dispatch.relay;
    // A kept connection may close during the write; whether the request ran is then unknown.
    order.reuse = call.idempotent() ? Reuse::Any : Reuse::Never;
    order.request = requestBytes(dispatch, attempt, next, order.reuse != Reuse::Never);
    order.silenceLimit = dispatch.silenceLimit;
    order.name = key;
    if (dispatch.kind == node::BackendKind::Plain) {
        order.makeReader = [maxBytes = context_.limits.answerBytes](AnswerSink sink) -> std::shared_ptr<AnswerReader> {
            return std::make_shared<PlainAnswerReader>(std::move(sink), maxBytes);
        };
        return order;
    }
    LineMatcher matcher(key, attempt, next, call.maxTokens());
    order.makeReader
        = [matcher, maxBytes = context_.limits.lineBytes](AnswerSink sink) -> std::shared_ptr<AnswerReader> {
        return std::make_shared<ModelAnswerReader>(matcher, std::move(sink), maxBytes);
    };
    return order;
}

void CallTable::reportNotStarted(const node::Dispatch& dispatch)
{
    node::AttemptEnded ended;
    ended.attempt = dispatch.attempt;
    ended.end = node::AttemptEnd::NotStarted;
    ended.detail = "the caller has disconnected";
    context_.events.push({ context_.incarnation, std::move(ended) });
}

void CallTable::execute(node::CancelAttempt&& cancel) { running_.cancel(cancel.attempt); }

void CallTable::execute(node::Reply&& reply)
{
    const auto found = calls_.find(reply.call);
    if (found == calls_.end()) {
        return;
    }
    found->second->finish(reply);
    calls_.erase(found);
    // An attempt that the core does not cancel no longer has to wait for a slow caller.
    running_.resume(reply.call);
}

void CallTable::execute(node::OperatorReply&& reply)
{
    const auto found = statusQueries_.find(reply.question);
    if (found == statusQueries_.end()) {
        return;
    }
    if (const auto caller = found->second.caller.lock()) {
        replyJson(*caller, 200, std::move(reply.json), std::nullopt);
    }
    statusQueries_.erase(found);
}

void CallTable::execute(BeginIncarnation&& begin)
{
    context_.incarnation = begin.incarnation;
    // The previous core reported that nothing is in progress, so the result of a running attempt has no recipient.
    running_.cancelAll();
}

void CallTable::reportProgress(Running& running, bool mustArrive)
{
    running.reportedTokens = running.call->tokens();
    TaggedEvent event { context_.incarnation,
        node::AttemptProgress { running.attempt->id(), Tokens(running.reportedTokens) } };
    if (mustArrive) {
        context_.events.push(std::move(event));
    } else {
        context_.decisions.pushOrDrop(std::move(event));
    }
}

void CallTable::sweep()
{
    context_.events.flush();
    for (auto& [id, running] : running_) {
        if (running.call->tokens() > running.reportedTokens) {
            reportProgress(running, false);
        }
    }
    expireStatusQueries();
    pool_.sweep();
    closeSlowCallers(context_, connections_);
    silence_.sweep(running_);
}

void CallTable::expireStatusQueries()
{
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(statusQueries_, [&](const auto& entry) {
        if (now < entry.second.until) {
            return false;
        }
        if (const auto caller = entry.second.caller.lock()) {
            refuse(*caller, overloadedRefusal("the router did not answer the status query in time"), {});
        }
        return true;
    });
}

void CallTable::closeIdleConnections()
{
    const auto connections = connections_;
    for (const auto& connection : connections) {
        connection->closeWhenIdle();
    }
}

void CallTable::closeAll()
{
    running_.cancelAll();
    closeConnections(connections_);
    calls_.clear();
    pool_.clear();
}

StreamCounts CallTable::counts() const
{
    StreamCounts counts = context_.counts;
    counts.connections = connections_.size();
    counts.attempts = running_.size();
    counts.calls = calls_.size();
    return counts;
}

} // namespace swiftlift::transport::internal
