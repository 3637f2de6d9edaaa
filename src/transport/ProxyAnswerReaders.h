#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "swiftlift/transport/EventSplitter.h"
#include "swiftlift/transport/ProxyDialect.h"
#include "transport/AnswerReader.h"

namespace swiftlift::transport::internal {

/** What the readers of one request's answers share. */
struct ExpectedAnswer {
    const ProxyDialect* dialect = nullptr;
    std::string requestId;
    std::size_t mostBodyBytes = 0;
    std::size_t mostEventBytes = 0;
};

/**
 * @brief An answer that is passed on as it came: whose it is, and whether it is one at all.
 *
 * What goes wrong without these checks: an engine hands out another request's answer, or bytes that it never signed,
 * and a caller takes them for its own. One notices by a request id that isn't the one asked for, or a missing
 * signature.
 */
class ProxyAnswerReader : public AnswerReader {
public:
    explicit ProxyAnswerReader(ExpectedAnswer expected);

    [[nodiscard]] HeadVerdict head(const AnswerHead& head) override;
    [[nodiscard]] AttemptResult refusal(const std::string& body) const override;

    [[nodiscard]] const AnswerHead& answerHead() const noexcept { return head_; }
    /** @return The last event that the caller has; nothing: it has none. */
    [[nodiscard]] virtual std::optional<std::uint64_t> last() const noexcept { return std::nullopt; }
    /** @return The body of an answer that is passed on whole. */
    [[nodiscard]] std::string& body() noexcept { return body_; }

protected:
    [[nodiscard]] ReadState collect(std::string_view bytes);
    [[nodiscard]] bool success() const noexcept;
    [[nodiscard]] const ExpectedAnswer& expected() const noexcept { return expected_; }

private:
    ExpectedAnswer expected_;
    AnswerHead head_;
    bool otherServer_ = false;
    std::string body_;
};

/** One body, kept until it is whole: one that breaks off never looks like an answer. */
class ProxyWholeReader final : public ProxyAnswerReader {
public:
    using ProxyAnswerReader::ProxyAnswerReader;

    [[nodiscard]] ReadState take(std::string_view bytes) override { return collect(bytes); }
    [[nodiscard]] ReadState end() override { return ReadState::Whole; }
    [[nodiscard]] AttemptResult result() const override;
};

/** Events with rising ids, each handed on as soon as it is whole. */
class ProxyEventReader final : public ProxyAnswerReader {
public:
    /** @param last The last event that the caller has; nothing: it has none. */
    ProxyEventReader(ExpectedAnswer expected, AnswerSink sink, std::optional<std::uint64_t> last);

    [[nodiscard]] HeadVerdict head(const AnswerHead& head) override;
    [[nodiscard]] ReadState take(std::string_view bytes) override;
    [[nodiscard]] ReadState end() override;
    [[nodiscard]] AttemptResult result() const override;

    [[nodiscard]] std::optional<std::uint64_t> last() const noexcept override { return last_; }

private:
    [[nodiscard]] ReadState takeEvent(StreamEvent&& event);

    AnswerSink sink_;
    std::optional<std::uint64_t> last_;
    EventSplitter splitter_;
    bool events_ = false;
};

} // namespace swiftlift::transport::internal
