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

    RawRequest toRaw(CallerMessage&& message)
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

    node::AttemptEnd toEnd(AttemptResult result)
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
    auto refused = overloadedRefusal("too many connections");
    // Nothing of the request has been read, its attempt's number neither.
    refused.outcome = node::Outcome::Unknown;
    const std::string bytes = jsonReply(refused.status, notAnsweredText({}, refused), false, refused.retryAfter);
    boost::system::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.write_some(boost::asio::buffer(bytes), ignored);
}

void CallTable::requestUnreadable(CallerConnection& connection, const UnreadableRequest& why)
{
    auto refused = refusal(why.status, why.reason, why.detail);
    // Before its header is whole, nothing says that this is the request's first attempt.
    refused.outcome
        = why.head == nullptr ? node::Outcome::Unknown : outcomeUnseen(header(*why.head, "Swiftlift-Attempt"));
    refuse(connection, refused, {});
}

void CallTable::requestCame(CallerConnection& connection, CallerMessage&& message)
{
    ParsedRequest request = parseRequest(toRaw(std::move(message)));
    if (auto* call = std::get_if<node::CallerRequest>(&request)) {
        callCame(connection, std::move(*call));
    } else if (const auto* question = std::get_if<RequestQuestion>(&request)) {
        questionCame(connection, *question);
    } else {
        refuse(connection, std::get<node::Reply>(request), {});
    }
}

void CallTable::callCame(CallerConnection& connection, node::CallerRequest&& request)
{
    const CallId id(++lastNumber_);
    const auto call = std::make_shared<Call>(context_, id, request, connection);
    const std::string requestId = request.id.value();
    const std::string attempt = std::to_string(request.attempt);
    TaggedEvent event { Incarnation {}, node::RequestArrived { id, std::move(request) } };
    if (!context_.decisions.tryPush(std::move(event), reservedEvents)) {
        ++context_.counts.overloaded;
        auto refused = overloadedRefusal("the router has too much waiting");
        refused.outcome = outcomeUnseen(attempt);
        refuse(connection, refused, requestId);
        return;
    }
    calls_.emplace(id, call);
    connection.setCall(id);
}

void CallTable::questionCame(CallerConnection& connection, const RequestQuestion& question)
{
    const std::uint64_t number = ++lastNumber_ | callersQuestion;
    const std::string argument = question.account.value() + "/" + question.id.value() + "/" + question.keyHash + "/"
        + toHex(requestKey(question.account, question.id));
    TaggedEvent event { Incarnation {}, node::OperatorAsked { number, "request", argument } };
    if (!context_.decisions.tryPush(std::move(event), reservedEvents)) {
        ++context_.counts.overloaded;
        refuse(connection, overloadedRefusal("the router has too much waiting"), question.id.value());
        return;
    }
    questions_[number]
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

void CallTable::answerPartCame(Attempt& attempt, std::string part)
{
    Running* const found = running_.find(attempt.id());
    if (found == nullptr) {
        return;
    }
    Running& running = *found;
    running.call->take(part, !running.plain);
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
        running->call->wholeAnswerCame(counts.promptTokens);
    }
    context_.events.push({ context_.incarnation,
        node::AttemptEnded { attempt.id(), toEnd(result), counts.promptTokens, Tokens(running->call->tokens()),
            counts.cachedPromptTokens, std::move(detail) } });
}

void CallTable::execute(StreamCommand&& command)
{
    std::visit([this](auto&& order) { execute(std::forward<decltype(order)>(order)); }, std::move(command));
}

void CallTable::execute(node::Dispatch&& dispatch)
{
    const auto found = calls_.find(dispatch.call);
    if (found == calls_.end() || running_.contains(dispatch.attempt)) {
        cannotStart(dispatch);
        return;
    }
    const auto& call = found->second;
    const bool plain = dispatch.kind == node::BackendKind::Plain;
    const AttemptId id = dispatch.attempt;
    const auto attempt = std::make_shared<Attempt>(context_, *this, pool_, orderOf(std::move(dispatch), *call));
    running_.add(id, Running { attempt, call, plain, 0 });
    attempt->start();
}

AttemptOrder CallTable::orderOf(node::Dispatch&& dispatch, Call& call)
{
    const std::int64_t next = call.prepare(dispatch);
    const std::string attempt = toHex(context_.incarnation.value()) + "-" + std::to_string(dispatch.attempt.value());
    const std::string key = toHex(dispatch.key);
    AttemptOrder order;
    order.attempt = dispatch.attempt;
    order.call = dispatch.call;
    order.backend = dispatch.backend;
    order.address = BackendAddress(dispatch.backend.value());
    // A kept connection may close at the moment of the write, and then nobody knows whether the request ran.
    order.reuse = call.idempotent() ? Reuse::Any : Reuse::Never;
    order.request = requestBytes(dispatch, attempt, next, order.reuse != Reuse::Never);
    order.silenceLimit = dispatch.silenceLimit;
    order.name = key;
    if (dispatch.kind == node::BackendKind::Plain) {
        order.makeReader = [most = context_.limits.answerBytes](AnswerSink sink) -> std::shared_ptr<AnswerReader> {
            return std::make_shared<PlainAnswerReader>(std::move(sink), most);
        };
        return order;
    }
    LineMatcher matcher(key, attempt, next, call.mostTokens());
    order.makeReader = [matcher, most = context_.limits.lineBytes](AnswerSink sink) -> std::shared_ptr<AnswerReader> {
        return std::make_shared<ModelAnswerReader>(matcher, std::move(sink), most);
    };
    return order;
}

void CallTable::cannotStart(const node::Dispatch& dispatch)
{
    node::AttemptEnded ended;
    ended.attempt = dispatch.attempt;
    ended.end = node::AttemptEnd::NotStarted;
    ended.detail = "the caller is gone";
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
    // An attempt that the core lets run on has nobody to wait for any more.
    running_.resume(reply.call);
}

void CallTable::execute(node::OperatorReply&& reply)
{
    const auto found = questions_.find(reply.question);
    if (found == questions_.end()) {
        return;
    }
    if (const auto caller = found->second.caller.lock()) {
        replyJson(*caller, 200, std::move(reply.json), std::nullopt);
    }
    questions_.erase(found);
}

void CallTable::execute(BeginIncarnation&& begin)
{
    context_.incarnation = begin.incarnation;
    // The former core said that nothing is in progress; what runs nevertheless can't be told to anybody any more.
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
    expireQuestions();
    pool_.sweep();
}

void CallTable::expireQuestions()
{
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(questions_, [&](const auto& entry) {
        if (now < entry.second.until) {
            return false;
        }
        if (const auto caller = entry.second.caller.lock()) {
            refuse(*caller, overloadedRefusal("the router did not answer in time"), {});
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
