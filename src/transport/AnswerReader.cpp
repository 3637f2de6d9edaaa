#include "transport/AnswerReader.h"

#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

#include "swiftlift/transport/AnnouncementFields.h"

namespace swiftlift::transport::internal {

ReadState AnswerReader::broken(std::string reason)
{
    lastReason_ = std::move(reason);
    return ReadState::Broken;
}

ReadState AnswerReader::tooLarge(std::string reason)
{
    lastReason_ = std::move(reason);
    return ReadState::TooLarge;
}

HeadVerdict NativeAnswerReader::head(const AnswerHead& head)
{
    constexpr int ok = 200;
    constexpr int tooMany = 429;
    constexpr int unavailable = 503;
    status_ = head.status;
    announcement_ = readAnnouncement(head, nativeAnnouncementFields);
    if (status_ == tooMany || status_ == unavailable) {
        return HeadVerdict::Refusal;
    }
    if (status_ == ok) {
        return HeadVerdict::Body;
    }
    static_cast<void>(broken("status " + std::to_string(status_)));
    return HeadVerdict::Broken;
}

AttemptResult NativeAnswerReader::refusal(const std::string& body) const
{
    constexpr int unavailable = 503;
    const auto json = nlohmann::json::parse(body, nullptr, false);
    const bool leaving
        = status_ == unavailable && json.is_object() && json.value("error", nlohmann::json()) == "leaving";
    return leaving ? AttemptResult::Leaving : AttemptResult::Refused;
}

ModelAnswerReader::ModelAnswerReader(LineMatcher matcher, AnswerSink sink, std::size_t maxLineBytes)
    : matcher_(std::move(matcher))
    , sink_(std::move(sink))
    , maxLineBytes_(maxLineBytes)
{
}

ReadState ModelAnswerReader::parseBody(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto newline = bytes.find('\n');
        partial_ += bytes.substr(0, newline);
        if (partial_.size() > maxLineBytes_) {
            return tooLarge("a line of the answer is too long");
        }
        if (newline == std::string_view::npos) {
            return ReadState::Incomplete;
        }
        const std::string line = std::exchange(partial_, {});
        bytes.remove_prefix(newline + 1);
        if (const ReadState state = handleLine(line); state != ReadState::Incomplete) {
            return state;
        }
    }
    return ReadState::Incomplete;
}

ReadState ModelAnswerReader::handleLine(std::string_view line)
{
    if (line.empty()) {
        return ReadState::Incomplete;
    }
    auto matched = matcher_.match(line);
    if (auto* token = std::get_if<TokenLine>(&matched)) {
        sink_.part(std::move(token->token));
        sink_.matchingLine();
    } else if (const auto* repeated = std::get_if<RepeatedLine>(&matched)) {
        if (repeated->advances) {
            sink_.matchingLine();
        }
    } else if (const auto* foreign = std::get_if<ForeignLine>(&matched)) {
        sink_.foreignLine(foreign->reason);
    } else if (const auto* wrong = std::get_if<BrokenLine>(&matched)) {
        return broken(wrong->reason);
    } else if (const auto* done = std::get_if<DoneLine>(&matched)) {
        counts_ = *done;
        return ReadState::Complete;
    }
    return ReadState::Incomplete;
}

ReadState ModelAnswerReader::end() { return broken("the answer ended before its last line"); }

PlainAnswerReader::PlainAnswerReader(AnswerSink sink, std::size_t maxBytes)
    : sink_(std::move(sink))
    , maxBytes_(maxBytes)
{
}

ReadState PlainAnswerReader::parseBody(std::string_view bytes)
{
    body_ += bytes;
    return body_.size() > maxBytes_ ? tooLarge("the answer is too large") : ReadState::Incomplete;
}

ReadState PlainAnswerReader::end()
{
    if (!nlohmann::json::accept(body_)) {
        return broken("the answer is not JSON");
    }
    sink_.part(std::move(body_));
    return ReadState::Complete;
}

} // namespace swiftlift::transport::internal
