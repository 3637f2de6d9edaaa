#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "swiftlift/routing/Announcement.h"
#include "swiftlift/transport/HeaderFields.h"
#include "swiftlift/transport/LineMatcher.h"

namespace swiftlift::transport::internal {

/** Meaning of an answer's head. */
enum class HeadVerdict : std::uint8_t {
    /** The body is the answer. */
    Body,
    /** The backend server did not start the request; the body gives the reason. */
    Refusal,
    /** Answer to another request: it is discarded, and the expected answer follows. */
    Foreign,
    /** The answer is invalid. */
    Broken,
};

/** Whether an answer is incomplete, complete or invalid. */
enum class ReadState : std::uint8_t {
    Incomplete,
    Complete,
    Broken,
    /** Invalid because it, or a part of it, exceeds its size limit. */
    TooLarge,
};

/** How an attempt ended. */
enum class AttemptResult : std::uint8_t {
    Completed,
    /** No connection could be made; nothing was sent. */
    Unreachable,
    /** The backend server did not start the request. */
    Refused,
    /** Like Refused; the backend server reports that it is leaving. */
    Leaving,
    /** Like Refused; a different server now has the address. */
    Misdirected,
    /** The backend server answered with a failure, which was received completely. */
    Failed,
    /** No complete answer was received; the request may have run. */
    Broken,
};

/** Parses a backend server's answer incrementally. */
class AnswerReader {
public:
    AnswerReader() = default;
    virtual ~AnswerReader() = default;
    AnswerReader(const AnswerReader&) = delete;
    AnswerReader& operator=(const AnswerReader&) = delete;

    /** Parses the answer's head. */
    [[nodiscard]] virtual HeadVerdict head(const AnswerHead& head) = 0;
    /** Parses the next bytes of the body. @return Whether the answer is now incomplete, complete or invalid. */
    [[nodiscard]] virtual ReadState parseBody(std::string_view bytes) = 0;
    /** Handles the end of the body. */
    [[nodiscard]] virtual ReadState end() = 0;

    /** @return Number of bytes of the answer that are held until more of it is received. */
    [[nodiscard]] virtual std::size_t heldBytes() const noexcept = 0;

    /** @return The result of an attempt that was refused with this body. */
    [[nodiscard]] virtual AttemptResult refusal(const std::string& body) const = 0;
    /** @return The result of an attempt whose answer is complete. */
    [[nodiscard]] virtual AttemptResult result() const { return AttemptResult::Completed; }

    /** @return The token counts that the engine reported with a complete answer. */
    [[nodiscard]] const DoneLine& counts() const noexcept { return counts_; }
    /** @return What the backend server states about itself in the answer's head; nullopt: the head is not from it. */
    [[nodiscard]] const std::optional<routing::Announcement>& announcement() const noexcept { return announcement_; }
    /** @return Why the answer is invalid or belongs to another request. */
    [[nodiscard]] const std::string& lastReason() const noexcept { return lastReason_; }

protected:
    [[nodiscard]] ReadState broken(std::string reason);
    [[nodiscard]] ReadState tooLarge(std::string reason);

    DoneLine counts_;
    std::optional<routing::Announcement> announcement_;

private:
    std::string lastReason_;
};

/** Callbacks for the parts of an answer. */
struct AnswerSink {
    /** Receives the next token or event, or the complete body of a plain service. */
    std::function<void(std::string)> part;
    /**
     * Called for each line or event of this request's answer, including those that the caller already has, except
     * repetitions within the same answer: an endless repetition must not extend the silence limit.
     */
    std::function<void()> matchingLine;
    /** Called for a line that belongs to another request, with the reason. */
    std::function<void(const std::string&)> foreignLine;
};

/** Interprets the HTTP statuses of the project's own protocol with backend servers. */
class NativeAnswerReader : public AnswerReader {
public:
    [[nodiscard]] HeadVerdict head(const AnswerHead& head) override;
    [[nodiscard]] AttemptResult refusal(const std::string& body) const override;

private:
    int status_ = 0;
};

/** Reads the lines of a model engine's answer. */
class ModelAnswerReader : public NativeAnswerReader {
public:
    ModelAnswerReader(LineMatcher matcher, AnswerSink sink, std::size_t maxLineBytes);

    [[nodiscard]] ReadState parseBody(std::string_view bytes) override;
    [[nodiscard]] ReadState end() override;
    [[nodiscard]] std::size_t heldBytes() const noexcept override { return partial_.size(); }

private:
    [[nodiscard]] ReadState handleLine(std::string_view line);

    LineMatcher matcher_;
    AnswerSink sink_;
    std::size_t maxLineBytes_;
    std::string partial_;
};

/** Reads the JSON text that is a plain service's answer. */
class PlainAnswerReader : public NativeAnswerReader {
public:
    PlainAnswerReader(AnswerSink sink, std::size_t maxBytes);

    [[nodiscard]] ReadState parseBody(std::string_view bytes) override;
    [[nodiscard]] ReadState end() override;
    [[nodiscard]] std::size_t heldBytes() const noexcept override { return body_.size(); }

private:
    AnswerSink sink_;
    std::size_t maxBytes_;
    std::string body_;
};

} // namespace swiftlift::transport::internal
