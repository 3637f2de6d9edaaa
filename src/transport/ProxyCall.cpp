#include "transport/ProxyCall.h"

#include <utility>

#include "transport/HttpText.h"
#include "transport/ProxyText.h"

namespace swiftlift::transport::internal {

using std::chrono::steady_clock;

namespace {

    std::chrono::microseconds since(steady_clock::time_point moment)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - moment);
    }

} // namespace

ProxyCall::ProxyCall(StreamContext& context, const ProxyDialect& dialect, CallId id, RequestHead head, std::string body,
    std::string requestId, CallerConnection& caller)
    : context_(context)
    , dialect_(dialect)
    , id_(id)
    , head_(std::move(head))
    , body_(std::move(body))
    , requestId_(std::move(requestId))
    , caller_(caller.shared_from_this())
    , arrived_(steady_clock::now())
    , held_(context.held)
{
    held_.set(body_.size());
}

std::string ProxyCall::backendRequest(const node::ProxyDispatch& order) const
{
    const HeaderFields fields = dialect_.towardsBackend(endToEnd(head_.fields), order, lastEvent_);
    return requestText(head_.method, head_.target, fields, body_);
}

void ProxyCall::forwardEvent(std::string&& event)
{
    observeEvent();
    ++events_;
    lastEvent_ = reader_->last();
    if (!caller_) {
        return;
    }
    std::string bytes;
    if (!caller_->streamBegun()) {
        caller_->beginStream();
        const Framing framing = caller_->chunked() ? Framing::Chunks : Framing::Close;
        bytes = answerHeadText(reader_->answerHead(), framing, 0, caller_->keepAlive());
    }
    bytes += caller_->chunked() ? chunk(event) : event;
    caller_->stream(bytes);
}

void ProxyCall::observeEvent()
{
    if (events_ == 0) {
        context_.observer.firstToken(since(arrived_));
    } else {
        context_.observer.betweenTokens(since(lastEventTime_));
    }
    lastEventTime_ = steady_clock::now();
}

void ProxyCall::forwardEnd()
{
    const auto caller = std::exchange(caller_, nullptr);
    if (!caller) {
        return;
    }
    if (caller->streamBegun()) {
        if (caller->chunked()) {
            caller->stream(lastChunk());
        }
        caller->endStream();
        return;
    }
    context_.observer.firstToken(since(arrived_));
    caller->reply(answerHeadText(reader_->answerHead(), Framing::Length, reader_->body().size(), caller->keepAlive())
        + reader_->body());
}

void ProxyCall::storeFailure()
{
    failure_ = reader_;
    held_.set(body_.size() + failure_->heldBytes());
}

void ProxyCall::forwardFailure()
{
    const auto caller = std::exchange(caller_, nullptr);
    if (!caller) {
        return;
    }
    if (caller->streamBegun() || !failure_) {
        caller->close();
        return;
    }
    caller->reply(answerHeadText(failure_->answerHead(), Framing::Length, failure_->body().size(), caller->keepAlive())
        + failure_->body());
}

void ProxyCall::finish(const node::Reply& reply)
{
    const auto caller = std::exchange(caller_, nullptr);
    if (!caller) {
        return;
    }
    // A begun answer can't be replaced by a refusal, and if it ended normally, the caller would treat the partial
    // answer as complete. Closing the connection makes it a failure for every caller.
    if (caller->streamBegun()) {
        caller->close();
        return;
    }
    writeRefusal(*caller, dialect_, reply, requestId_);
}

bool ProxyCall::callerIsSlow() const noexcept { return caller_ && caller_->unsentBytes() > context_.pauseAboveBytes(); }

void writeRefusal(
    CallerConnection& caller, const ProxyDialect& dialect, const node::Reply& refusal, const std::string& requestId)
{
    AnswerHead head { refusal.status, dialect.ofRefusal(refusal, requestId) };
    head.fields.push_back({ "Content-Type", "text/plain" });
    const std::string body = refusal.reason + "\n";
    caller.reply(answerHeadText(head, Framing::Length, body.size(), caller.keepAlive()) + body);
}

} // namespace swiftlift::transport::internal
