#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "swiftlift/transport/LineMatcher.h"

namespace swiftlift::transport::internal {

enum class ReadState : std::uint8_t { More, Whole, Broken };

/** Understands the body of a backend server's answer, piece by piece. */
class AnswerReader {
public:
    AnswerReader() = default;
    virtual ~AnswerReader() = default;
    AnswerReader(const AnswerReader&) = delete;
    AnswerReader& operator=(const AnswerReader&) = delete;

    /** @return Whether the answer is whole, or can't become so any more. */
    [[nodiscard]] virtual ReadState take(std::string_view bytes) = 0;
    /** The body is over. */
    [[nodiscard]] virtual ReadState end() = 0;

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

/** Lines of a model engine. */
class ModelAnswerReader : public AnswerReader {
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
class PlainAnswerReader : public AnswerReader {
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
