#include "transport/ProxyAnswerReaders.h"

#include <algorithm>
#include <utility>

namespace swiftlift::transport::internal {

namespace {

    constexpr int firstSuccess = 200;
    constexpr int firstBeyondSuccess = 300;
    constexpr std::string_view eventType = "text/event-stream";

} // namespace

ProxyAnswerReader::ProxyAnswerReader(ExpectedAnswer expected)
    : expected_(std::move(expected))
{
}

bool ProxyAnswerReader::success() const noexcept
{
    return head_.status >= firstSuccess && head_.status < firstBeyondSuccess;
}

HeadVerdict ProxyAnswerReader::head(const AnswerHead& head)
{
    if (head.status < firstSuccess) {
        static_cast<void>(broken("interim answer with a 1xx status"));
        return HeadVerdict::Foreign;
    }
    const AnswerMarks marks = expected_.dialect->marks(head);
    if (!marks.requestId.empty() && marks.requestId != expected_.requestId) {
        static_cast<void>(broken("answer to another request: " + marks.requestId));
        return HeadVerdict::Foreign;
    }
    head_ = head;
    otherServer_ = marks.otherServer;
    // Another server at the same address states nothing about the intended one, and an unsigned answer withdraws
    // nothing.
    if (!marks.otherServer && (marks.genuine || marks.notStarted || !marks.announcement.empty())) {
        announcement_ = marks.announcement;
    }
    if (marks.notStarted || marks.otherServer) {
        return HeadVerdict::Refusal;
    }
    if (success() && (!marks.genuine || marks.requestId.empty())) {
        static_cast<void>(broken("successful answer without the signature or the request id"));
        return HeadVerdict::Broken;
    }
    return HeadVerdict::Body;
}

AttemptResult ProxyAnswerReader::refusal(const std::string& /*body*/) const
{
    return otherServer_ ? AttemptResult::Misdirected : AttemptResult::Refused;
}

ReadState ProxyAnswerReader::collect(std::string_view bytes)
{
    // Checked before appending, which may double the memory.
    if (body_.size() + bytes.size() > expected_.maxBodyBytes) {
        std::string().swap(body_);
        return tooLarge("the answer is too large");
    }
    body_ += bytes;
    return ReadState::Incomplete;
}

AttemptResult ProxyWholeReader::result() const { return success() ? AttemptResult::Completed : AttemptResult::Failed; }

ProxyEventReader::ProxyEventReader(ExpectedAnswer expected, AnswerSink sink, std::optional<std::uint64_t> last)
    : ProxyAnswerReader(std::move(expected))
    , sink_(std::move(sink))
    , last_(last)
    , splitter_(this->expected().maxEventBytes)
{
}

HeadVerdict ProxyEventReader::head(const AnswerHead& head)
{
    const HeadVerdict verdict = ProxyAnswerReader::head(head);
    if (verdict != HeadVerdict::Body) {
        return verdict;
    }
    const auto type = valueOf(head.fields, "Content-Type").value_or(std::string_view {});
    events_ = success() && type.starts_with(eventType);
    if (success() && !events_) {
        static_cast<void>(broken("successful answer that is not a text/event-stream"));
        return HeadVerdict::Broken;
    }
    return verdict;
}

ReadState ProxyEventReader::parseBody(std::string_view bytes)
{
    if (!events_) {
        return collect(bytes);
    }
    splitter_.add(bytes);
    while (auto event = splitter_.next()) {
        if (const ReadState state = handleEvent(std::move(*event)); state != ReadState::Incomplete) {
            return state;
        }
    }
    return splitter_.tooLarge() ? tooLarge("event of the answer is too large") : ReadState::Incomplete;
}

ReadState ProxyEventReader::handleEvent(StreamEvent&& event)
{
    if (!event.id) {
        return broken("event without a numeric id");
    }
    const bool advances = !highest_ || *event.id > *highest_;
    highest_ = std::max(highest_, event.id);
    // A resuming engine may begin some events before the requested one; the caller already has those.
    if (last_ && *event.id <= *last_) {
        if (advances) {
            sink_.matchingLine();
        }
        return ReadState::Incomplete;
    }
    if (last_ && *event.id != *last_ + 1) {
        return broken("event " + std::to_string(*event.id) + " comes after " + std::to_string(*last_));
    }
    last_ = event.id;
    sink_.part(std::move(event.bytes));
    sink_.matchingLine();
    return ReadState::Incomplete;
}

ReadState ProxyEventReader::end()
{
    if (events_ && splitter_.partial()) {
        return broken("the stream ended within an event");
    }
    return ReadState::Complete;
}

AttemptResult ProxyEventReader::result() const { return events_ ? AttemptResult::Completed : AttemptResult::Failed; }

} // namespace swiftlift::transport::internal
