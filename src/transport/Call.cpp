#include "transport/Call.h"

#include <utility>

#include "transport/JsonCaller.h"

namespace swiftlift::transport::internal {

using std::chrono::steady_clock;

Call::Call(StreamContext& context, CallId id, const node::CallerRequest& request, CallerConnection& caller)
    : context_(context)
    , id_(id)
    , requestId_(request.id.value())
    , stream_(request.stream)
    , idempotent_(request.idempotent)
    , maxTokens_(request.maxAnswerTokens.value())
    , arrived_(steady_clock::now())
    , caller_(caller.shared_from_this())
    , held_(context.held)
{
}

void Call::addPart(const std::string& part, bool isToken)
{
    const std::int64_t index = answer_.answerTokens.value();
    if (isToken) {
        observeToken();
        answer_.answerTokens += Tokens(1);
    }
    if (!stream_) {
        answer_.text += part;
        held_.set(answer_.text.size());
        return;
    }
    if (caller_) {
        streamLine(*caller_, tokenLine(part, index));
    }
}

void Call::observeToken()
{
    const auto now = steady_clock::now();
    if (answer_.answerTokens == Tokens {}) {
        context_.observer.firstToken(std::chrono::duration_cast<std::chrono::microseconds>(now - arrived_));
    } else {
        context_.observer.betweenTokens(std::chrono::duration_cast<std::chrono::microseconds>(now - lastToken_));
    }
    lastToken_ = now;
}

std::int64_t Call::prepareAttempt(const node::Dispatch& dispatch)
{
    // An unstreamed answer that restarts from the beginning is collected anew, since two runs may differ in their text.
    // A stream resumes after the last token that the caller was sent, even if the core's `resumeFrom` is older.
    if (!stream_ && dispatch.resumeFrom == Tokens {}) {
        answer_ = {};
    }
    return tokens();
}

void Call::answerCompleted(Tokens promptTokens) { answer_.promptTokens = promptTokens; }

void Call::finish(const node::Reply& reply)
{
    if (!caller_) {
        return;
    }
    const auto caller = std::exchange(caller_, nullptr);
    const bool answered = reply.outcome == node::Outcome::Answered;
    const bool asStream = caller->streamBegun() || (answered && stream_);
    std::string text
        = answered ? answeredText(requestId_, answer_, reply.billed, !asStream) : notAnsweredText(requestId_, reply);
    if (asStream) {
        endStream(*caller, text + "\n");
    } else {
        replyJson(*caller, reply.status, std::move(text), reply.retryAfter);
    }
}

bool Call::callerIsSlow() const noexcept { return caller_ && caller_->unsentBytes() > context_.pauseAboveBytes(); }

} // namespace swiftlift::transport::internal
