#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "swiftlift/node/Event.h"
#include "swiftlift/transport/CallerText.h"
#include "transport/CallerConnection.h"

namespace swiftlift::transport::internal {

/** One caller's request from its arrival to its final word. */
class Call {
public:
    /**
     * @param id The transport's number.
     * @param request As it came; its body has been moved on.
     * @param caller Where the answer goes.
     */
    Call(StreamContext& context, CallId id, const node::CallerRequest& request, CallerConnection& caller);

    /** Takes the next token, or a plain service's whole answer, and passes it on when the caller wants a stream. */
    void take(const std::string& part, bool counts);

    /** Prepares for an attempt. @return Index of the first token that the caller has not got. */
    [[nodiscard]] std::int64_t prepare(const node::Dispatch& dispatch);

    /** The attempt has brought the whole answer. */
    void wholeAnswerCame(Tokens promptTokens);

    /** Writes the final word. */
    void finish(const node::Reply& reply);

    void callerDisconnected() noexcept { caller_.reset(); }

    /** @return Whether the caller takes its answer more slowly than it comes. */
    [[nodiscard]] bool callerIsSlow() const noexcept;

    [[nodiscard]] bool hasCaller() const noexcept { return caller_ != nullptr; }
    [[nodiscard]] CallId id() const noexcept { return id_; }
    [[nodiscard]] bool idempotent() const noexcept { return idempotent_; }
    [[nodiscard]] std::int64_t mostTokens() const noexcept { return mostTokens_; }
    /** @return Tokens that have come, all attempts together. */
    [[nodiscard]] std::int64_t tokens() const noexcept { return answer_.answerTokens.value(); }
    [[nodiscard]] std::size_t collectedBytes() const noexcept { return answer_.text.size(); }

private:
    void observeToken();

    StreamContext& context_;
    CallId id_;
    std::string requestId_;
    bool stream_;
    bool idempotent_;
    std::int64_t mostTokens_;
    std::chrono::steady_clock::time_point arrived_;
    std::chrono::steady_clock::time_point lastToken_;
    std::shared_ptr<CallerConnection> caller_;
    WholeAnswer answer_;
};

} // namespace swiftlift::transport::internal
