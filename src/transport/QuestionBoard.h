#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "swiftlift/node/Action.h"
#include "swiftlift/transport/TaggedEvent.h"

namespace swiftlift::transport::internal {

/** Operators' queries to the decision thread; each querying thread blocks until its answer arrives. */
class QuestionBoard {
public:
    /**
     * @param decisions Ring of the decision thread; outlives this object.
     * @param limit Timeout for an answer.
     */
    QuestionBoard(DecisionInbox& decisions, std::chrono::milliseconds limit);

    /** @return The answer as JSON; `nullopt` after a timeout or close(). Blocks. */
    [[nodiscard]] std::optional<std::string> ask(std::string topic, std::string argument);

    /** Delivers an answer to the thread that waits for it. The lock is only ever held briefly, never during I/O. */
    void answer(node::OperatorReply&& reply);

    /** Wakes all waiting threads; ask() returns without an answer. */
    void close();

private:
    DecisionInbox& decisions_;
    std::chrono::milliseconds limit_;
    std::mutex mutex_;
    std::condition_variable answered_;
    std::uint64_t lastQuestion_ = 0;
    bool closed_ = false;
    std::unordered_map<std::uint64_t, std::optional<std::string>> questions_;
};

} // namespace swiftlift::transport::internal
