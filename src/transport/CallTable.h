#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "swiftlift/transport/RequestParsing.h"
#include "transport/Attempt.h"
#include "transport/BackendPool.h"
#include "transport/Call.h"
#include "transport/CallerConnection.h"
#include "transport/RunningAttempts.h"
#include "transport/StreamContext.h"
#include "transport/StreamTable.h"

namespace swiftlift::transport::internal {

/** All calls and attempts in progress: brings the core's orders, the callers and the backend servers together. */
class CallTable final : public StreamTable, public CallerHost, public AttemptHost {
public:
    explicit CallTable(StreamContext& context);

    void accept(boost::asio::ip::tcp::socket socket) override;
    void acceptReadiness(boost::asio::ip::tcp::socket) override { }
    void execute(StreamCommand&& command) override;
    void sweep() override;
    void closeIdleConnections() override;
    void closeAll() override;
    [[nodiscard]] bool hasConnections() const noexcept override { return !connections_.empty(); }
    [[nodiscard]] std::size_t attempts() const noexcept override { return running_.size(); }
    [[nodiscard]] StreamCounts counts() const override;

    void requestCame(CallerConnection& connection, CallerMessage&& request) override;
    void requestUnreadable(CallerConnection& connection, const UnreadableRequest& why) override;
    void callerDisconnected(CallerConnection& connection) override;
    void callerDrained(CallerConnection& connection) override;
    void connectionClosed(CallerConnection& connection) override;
    void answerPartCame(Attempt& attempt, std::string part) override;
    void attemptEnded(Attempt& attempt, AttemptResult result, std::string detail) override;

private:
    struct Running {
        std::shared_ptr<Attempt> attempt;
        std::shared_ptr<Call> call;
        bool plain = false;
        std::int64_t reportedTokens = 0;
    };
    struct Question {
        std::weak_ptr<CallerConnection> caller;
        std::chrono::steady_clock::time_point until;
    };

    void callCame(CallerConnection& connection, node::CallerRequest&& request);
    void questionCame(CallerConnection& connection, const RequestQuestion& question);
    void refuse(CallerConnection& connection, const node::Reply& refusal, std::string_view requestId);
    void execute(node::Dispatch&& dispatch);
    void execute(node::CancelAttempt&& cancel);
    void execute(node::Reply&& reply);
    void execute(node::OperatorReply&& reply);
    void execute(BeginIncarnation&& begin);
    /** What concerns requests that are passed on as they came is another table's. */
    template <typename Other> void execute(Other&&) { }
    [[nodiscard]] AttemptOrder orderOf(node::Dispatch&& dispatch, Call& call);
    void cannotStart(const node::Dispatch& dispatch);
    void reportProgress(Running& running, bool mustArrive);
    void expireQuestions();

    StreamContext& context_;
    BackendPool pool_;
    std::uint64_t lastNumber_ = 0;
    CallerConnections connections_;
    std::unordered_map<CallId, std::shared_ptr<Call>> calls_;
    RunningAttempts<Running> running_;
    std::unordered_map<std::uint64_t, Question> questions_;
};

} // namespace swiftlift::transport::internal
