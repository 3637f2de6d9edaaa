#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "swiftlift/node/Event.h"
#include "swiftlift/transport/CallerText.h"
#include "transport/CallerConnection.h"
#include "transport/HeldBytes.h"

namespace swiftlift::transport::internal {

/** A caller's request, from its arrival to its final reply. */
class Call {
public:
    /**
     * @param id Number that the streams thread gave the request.
     * @param request The parsed request; its body is not used.
     * @param caller Connection on which the answer is written.
     */
    Call(StreamContext& context, CallId id, const node::CallerRequest& request, CallerConnection& caller);

    /**
     * @brief Adds the next part of the answer; sends it at once if the caller requested a stream.
     * @param part A token, or a plain service's complete answer.
     * @param isToken Whether the part is a token, which is counted.
     */
    void addPart(const std::string& part, bool isToken);

    /**
     * @brief Prepares the call for an attempt.
     * @return Index of the first token that has not been received.
     */
    [[nodiscard]] std::int64_t prepareAttempt(const node::Dispatch& dispatch);

    /** The attempt has delivered the complete answer. */
    void answerCompleted(Tokens promptTokens);

    /** Writes the final reply: the answer with its bill, or the refusal. */
    void finish(const node::Reply& reply);

    void callerDisconnected() noexcept { caller_.reset(); }

    /** @return Whether so much of the answer is unsent that reading from the backend server has to pause. */
    [[nodiscard]] bool callerIsSlow() const noexcept;

    [[nodiscard]] bool hasCaller() const noexcept { return caller_ != nullptr; }
    [[nodiscard]] CallId id() const noexcept { return id_; }
    [[nodiscard]] bool idempotent() const noexcept { return idempotent_; }
    [[nodiscard]] std::int64_t maxTokens() const noexcept { return maxTokens_; }
    /** @return Number of tokens received from all attempts. */
    [[nodiscard]] std::int64_t tokens() const noexcept { return answer_.answerTokens.value(); }
    [[nodiscard]] std::size_t collectedBytes() const noexcept { return answer_.text.size(); }

private:
    void observeToken();

    StreamContext& context_;
    CallId id_;
    std::string requestId_;
    bool stream_;
    bool idempotent_;
    std::int64_t maxTokens_;
    std::chrono::steady_clock::time_point arrived_;
    std::chrono::steady_clock::time_point lastToken_;
    std::shared_ptr<CallerConnection> caller_;
    CollectedAnswer answer_;
    /** The collected text. */
    HeldBytes held_;
};

} // namespace swiftlift::transport::internal
