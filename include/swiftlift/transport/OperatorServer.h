#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "swiftlift/node/Action.h"
#include "swiftlift/transport/Endpoint.h"
#include "swiftlift/transport/TaggedEvent.h"

namespace swiftlift::transport {

/**
 * @brief Operators' questions over HTTP, see docs/PROTOCOLS.md section 7. In threads of its own.
 *
 * Each question is put to the decision thread and waited for, but not for long.
 */
class OperatorServer {
public:
    /** @param decisions Ring of the decision thread; outlives the server. */
    OperatorServer(DecisionInbox& decisions, std::chrono::milliseconds limit);
    ~OperatorServer();
    OperatorServer(const OperatorServer&) = delete;
    OperatorServer& operator=(const OperatorServer&) = delete;

    /** @return Whether the address could be taken; else see lastReason(). */
    [[nodiscard]] bool start(const Endpoint& endpoint);
    [[nodiscard]] const std::string& lastReason() const noexcept;
    void stop();

    /** Hands an answer to whoever waits for it. For the decision thread; never waits. */
    void answer(node::OperatorReply&& reply);

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace swiftlift::transport
