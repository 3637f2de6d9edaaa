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

/** Questions to the decision thread whose askers wait for the answer. */
class QuestionBoard {
public:
    QuestionBoard(DecisionInbox& decisions, std::chrono::milliseconds limit);

    /** @return The answer; nothing when none came in time. Waits. */
    [[nodiscard]] std::optional<std::string> ask(std::string topic, std::string argument);

    /** Only moves the text, under a lock that nobody holds for longer than that. */
    void answer(node::OperatorReply&& reply);

    /** All askers go on without an answer. */
    void close();

private:
    DecisionInbox& decisions_;
    std::chrono::milliseconds limit_;
    std::mutex mutex_;
    std::condition_variable answered_;
    std::uint64_t last_ = 0;
    bool closed_ = false;
    std::unordered_map<std::uint64_t, std::optional<std::string>> questions_;
};

} // namespace swiftlift::transport::internal
