#include "transport/ProxyAnswerReaders.h"

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
        static_cast<void>(broken("an interim answer"));
        return HeadVerdict::Foreign;
    }
    const AnswerMarks marks = expected_.dialect->marks(head);
    if (!marks.requestId.empty() && marks.requestId != expected_.requestId) {
        static_cast<void>(broken("answers request " + marks.requestId));
        return HeadVerdict::Foreign;
    }
    head_ = head;
    otherServer_ = marks.otherServer;
    if (marks.notStarted || marks.otherServer) {
        return HeadVerdict::Refusal;
    }
    if (success() && (!marks.genuine || marks.requestId.empty())) {
        static_cast<void>(broken("a success without the signature or the request's id"));
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
    body_ += bytes;
    return body_.size() > expected_.mostBodyBytes ? broken("the answer is too large") : ReadState::More;
}

AttemptResult ProxyWholeReader::result() const { return success() ? AttemptResult::Completed : AttemptResult::Failed; }

ProxyEventReader::ProxyEventReader(ExpectedAnswer expected, AnswerSink sink, std::optional<std::uint64_t> last)
    : ProxyAnswerReader(std::move(expected))
    , sink_(std::move(sink))
    , last_(last)
    , splitter_(this->expected().mostEventBytes)
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
        static_cast<void>(broken("a success that is no stream of events"));
        return HeadVerdict::Broken;
    }
    return verdict;
}

ReadState ProxyEventReader::take(std::string_view bytes)
{
    if (!events_) {
        return collect(bytes);
    }
    splitter_.add(bytes);
    while (auto event = splitter_.next()) {
        if (const ReadState state = takeEvent(std::move(*event)); state != ReadState::More) {
            return state;
        }
    }
    return splitter_.tooLarge() ? broken("an event is too large") : ReadState::More;
}

ReadState ProxyEventReader::takeEvent(StreamEvent&& event)
{
    if (!event.id) {
        return broken("an event without an id");
    }
    // An engine that resumes may begin a little before the place it was told; the caller has those events.
    if (last_ && *event.id <= *last_) {
        sink_.ownLine();
        return ReadState::More;
    }
    if (last_ && *event.id != *last_ + 1) {
        return broken("event " + std::to_string(*event.id) + " comes after " + std::to_string(*last_));
    }
    last_ = event.id;
    sink_.part(std::move(event.bytes));
    sink_.ownLine();
    return ReadState::More;
}

ReadState ProxyEventReader::end()
{
    if (events_ && splitter_.partial()) {
        return broken("the stream ended within an event");
    }
    return ReadState::Whole;
}

AttemptResult ProxyEventReader::result() const { return events_ ? AttemptResult::Completed : AttemptResult::Failed; }

} // namespace swiftlift::transport::internal
