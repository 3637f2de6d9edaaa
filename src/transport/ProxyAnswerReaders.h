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

/** Request id and size limits that an answer is checked against. */
struct ExpectedAnswer {
    const ProxyDialect* dialect = nullptr;
    std::string requestId;
    /** Maximum size of an unstreamed answer. */
    std::size_t maxBodyBytes = 0;
    /** Maximum size of one event. */
    std::size_t maxEventBytes = 0;
};

/**
 * @brief Checks that a proxied answer belongs to the request and comes from a backend server.
 *
 * Without these checks, a caller would receive another request's answer, or bytes that no backend server signed, as the
 * answer to its own request. Such answers have a different request id or lack the signature.
 */
class ProxyAnswerReader : public AnswerReader {
public:
    explicit ProxyAnswerReader(ExpectedAnswer expected);

    [[nodiscard]] HeadVerdict head(const AnswerHead& head) override;
    [[nodiscard]] AttemptResult refusal(const std::string& body) const override;

    /** @return Head of the request's answer. */
    [[nodiscard]] const AnswerHead& answerHead() const noexcept { return head_; }
    [[nodiscard]] std::size_t heldBytes() const noexcept override { return body_.size(); }
    /** @return Id of the last event that was forwarded; empty if there is none. */
    [[nodiscard]] virtual std::optional<std::uint64_t> last() const noexcept { return std::nullopt; }
    /** @return The body of an unstreamed answer. */
    [[nodiscard]] std::string& body() noexcept { return body_; }

protected:
    /** Appends bytes to the body; the answer is broken if the body becomes too large. */
    [[nodiscard]] ReadState collect(std::string_view bytes);
    /** @return Whether the answer's status is 2xx. */
    [[nodiscard]] bool success() const noexcept;
    [[nodiscard]] const ExpectedAnswer& expected() const noexcept { return expected_; }

private:
    ExpectedAnswer expected_;
    AnswerHead head_;
    bool otherServer_ = false;
    std::string body_;
};

/** Reads an unstreamed answer. Collects the complete body, so that an incomplete answer is never forwarded. */
class ProxyWholeReader final : public ProxyAnswerReader {
public:
    using ProxyAnswerReader::ProxyAnswerReader;

    [[nodiscard]] ReadState parseBody(std::string_view bytes) override { return collect(bytes); }
    [[nodiscard]] ReadState end() override { return ReadState::Complete; }
    [[nodiscard]] AttemptResult result() const override;
};

/** Reads a stream of events with consecutive ids; forwards each event once it is complete. */
class ProxyEventReader final : public ProxyAnswerReader {
public:
    /** @param last Id of the last event that the caller was sent; empty if there is none. */
    ProxyEventReader(ExpectedAnswer expected, AnswerSink sink, std::optional<std::uint64_t> last);

    [[nodiscard]] HeadVerdict head(const AnswerHead& head) override;
    [[nodiscard]] ReadState parseBody(std::string_view bytes) override;
    [[nodiscard]] ReadState end() override;
    [[nodiscard]] AttemptResult result() const override;

    [[nodiscard]] std::optional<std::uint64_t> last() const noexcept override { return last_; }
    [[nodiscard]] std::size_t heldBytes() const noexcept override
    {
        return ProxyAnswerReader::heldBytes() + splitter_.heldBytes();
    }

private:
    [[nodiscard]] ReadState handleEvent(StreamEvent&& event);

    AnswerSink sink_;
    std::optional<std::uint64_t> last_;
    /** Highest id of this attempt's events; empty if there is none. */
    std::optional<std::uint64_t> highest_;
    EventSplitter splitter_;
    bool events_ = false;
};

} // namespace swiftlift::transport::internal
