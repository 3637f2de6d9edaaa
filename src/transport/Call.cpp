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
    , mostTokens_(request.maxAnswerTokens.value())
    , arrived_(steady_clock::now())
    , caller_(caller.shared_from_this())
{
}

void Call::take(const std::string& part, bool counts)
{
    const std::int64_t index = answer_.answerTokens.value();
    if (counts) {
        observeToken();
        answer_.answerTokens += Tokens(1);
    }
    if (!stream_) {
        answer_.text += part;
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

std::int64_t Call::prepare(const node::Dispatch& dispatch)
{
    // A whole answer that is run again from its start is collected anew: two runs need not give the same text. A
    // stream goes on after the last token that the caller was given, whatever the core knew when it decided.
    if (!stream_ && dispatch.resumeFrom == Tokens {}) {
        answer_ = {};
    }
    return tokens();
}

void Call::wholeAnswerCame(Tokens promptTokens) { answer_.promptTokens = promptTokens; }

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

bool Call::callerIsSlow() const noexcept { return caller_ && caller_->unsent() > context_.limits.pauseAboveBytes; }

} // namespace swiftlift::transport::internal
