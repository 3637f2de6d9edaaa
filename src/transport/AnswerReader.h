#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "swiftlift/transport/HeaderFields.h"
#include "swiftlift/transport/LineMatcher.h"

namespace swiftlift::transport::internal {

/** What the head of an answer makes of it. */
enum class HeadVerdict : std::uint8_t {
    /** Its body is the answer. */
    Body,
    /** The backend server did not start the request; its body says why. */
    Refusal,
    /** It answers another request: it is to be read and dropped, and ours follows. */
    Foreign,
    Broken,
};

enum class ReadState : std::uint8_t { More, Whole, Broken };

/** How an attempt ended. */
enum class AttemptResult : std::uint8_t {
    Completed,
    /** No connection was made: nothing was sent. */
    Unreachable,
    /** The backend server did not start it. */
    Refused,
    /** As Refused, and the backend server says that it is leaving. */
    Leaving,
    /** As Refused: another server has the address now. */
    Misdirected,
    /** The backend server answered with a failure, which has come whole. */
    Failed,
    /** It may have run. */
    Broken,
};

/** Understands a backend server's answer, piece by piece. */
class AnswerReader {
public:
    AnswerReader() = default;
    virtual ~AnswerReader() = default;
    AnswerReader(const AnswerReader&) = delete;
    AnswerReader& operator=(const AnswerReader&) = delete;

    [[nodiscard]] virtual HeadVerdict head(const AnswerHead& head) = 0;
    /** @return Whether the answer is whole, or can't become so any more. */
    [[nodiscard]] virtual ReadState take(std::string_view bytes) = 0;
    /** The body is over. */
    [[nodiscard]] virtual ReadState end() = 0;

    /** @return What a refusal means. */
    [[nodiscard]] virtual AttemptResult refusal(const std::string& body) const = 0;
    /** @return What the whole answer means. */
    [[nodiscard]] virtual AttemptResult result() const { return AttemptResult::Completed; }

    /** @return The engine's own counts, of a whole answer. */
    [[nodiscard]] const DoneLine& counts() const noexcept { return counts_; }
    /** @return Why it is broken. */
    [[nodiscard]] const std::string& lastReason() const noexcept { return lastReason_; }

protected:
    [[nodiscard]] ReadState broken(std::string reason);

    DoneLine counts_;

private:
    std::string lastReason_;
};

/** Where the parts of an answer go. */
struct AnswerSink {
    /** The next token, or the whole body of a plain service. */
    std::function<void(std::string)> part;
    /** A line of ours, one that the caller already has included. */
    std::function<void()> ownLine;
    /** A line that is not ours, and why. */
    std::function<void(const std::string&)> foreignLine;
};

/** The statuses of the project's own protocol towards backend servers. */
class NativeAnswerReader : public AnswerReader {
public:
    [[nodiscard]] HeadVerdict head(const AnswerHead& head) override;
    [[nodiscard]] AttemptResult refusal(const std::string& body) const override;

private:
    int status_ = 0;
};

/** Lines of a model engine. */
class ModelAnswerReader : public NativeAnswerReader {
public:
    ModelAnswerReader(LineMatcher matcher, AnswerSink sink, std::size_t maxLineBytes);

    [[nodiscard]] ReadState take(std::string_view bytes) override;
    [[nodiscard]] ReadState end() override;

private:
    [[nodiscard]] ReadState takeLine(std::string_view line);

    LineMatcher matcher_;
    AnswerSink sink_;
    std::size_t maxLineBytes_;
    std::string partial_;
};

/** The one JSON text of a plain service. */
class PlainAnswerReader : public NativeAnswerReader {
public:
    PlainAnswerReader(AnswerSink sink, std::size_t maxBytes);

    [[nodiscard]] ReadState take(std::string_view bytes) override;
    [[nodiscard]] ReadState end() override;

private:
    AnswerSink sink_;
    std::size_t maxBytes_;
    std::string body_;
};

} // namespace swiftlift::transport::internal
