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
 * @brief HTTP server for operators' queries, with threads of its own; see docs/PROTOCOLS.md section 7.
 *
 * Each query is passed to the decision thread; the HTTP request waits for the answer up to a timeout.
 */
class OperatorServer {
public:
    /**
     * @param decisions Ring of the decision thread; outlives the server.
     * @param limit Timeout for the decision thread's answer to a query.
     */
    OperatorServer(DecisionInbox& decisions, std::chrono::milliseconds limit);
    ~OperatorServer();
    OperatorServer(const OperatorServer&) = delete;
    OperatorServer& operator=(const OperatorServer&) = delete;

    /** @return Whether the address could be bound; if not, lastReason() has the reason. */
    [[nodiscard]] bool start(const Endpoint& endpoint);
    [[nodiscard]] const std::string& lastReason() const noexcept;
    void stop();

    /** Delivers an answer to the waiting HTTP request. Called by the decision thread; does not wait for I/O. */
    void answer(node::OperatorReply&& reply);

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace swiftlift::transport
