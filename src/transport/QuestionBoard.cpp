#include "transport/QuestionBoard.h"

#include <utility>

namespace swiftlift::transport::internal {

QuestionBoard::QuestionBoard(DecisionInbox& decisions, std::chrono::milliseconds limit)
    : decisions_(decisions)
    , limit_(limit)
{
}

std::optional<std::string> QuestionBoard::ask(std::string topic, std::string argument)
{
    std::unique_lock lock(mutex_);
    const std::uint64_t questionNumber = ++lastQuestion_;
    questions_.emplace(questionNumber, std::nullopt);
    TaggedEvent event { Incarnation {}, node::OperatorAsked { questionNumber, std::move(topic), std::move(argument) } };
    if (decisions_.tryPush(std::move(event), reservedEvents)) {
        answered_.wait_for(lock, limit_, [&] { return closed_ || questions_[questionNumber].has_value(); });
    }
    auto answer = std::move(questions_[questionNumber]);
    questions_.erase(questionNumber);
    return answer;
}

void QuestionBoard::answer(node::OperatorReply&& reply)
{
    const std::lock_guard lock(mutex_);
    if (const auto found = questions_.find(reply.question); found != questions_.end()) {
        found->second = std::move(reply.json);
        answered_.notify_all();
    }
}

void QuestionBoard::close()
{
    const std::lock_guard lock(mutex_);
    closed_ = true;
    answered_.notify_all();
}

} // namespace swiftlift::transport::internal
