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
#include "transport/SilenceDetector.h"
#include "transport/StreamContext.h"
#include "transport/StreamTable.h"

namespace swiftlift::transport::internal {

/** Calls and attempts in progress of the project's own protocol; connects callers, backend servers and the core. */
class CallTable final : public StreamTable, public CallerConnectionHandler, public AttemptHandler {
public:
    explicit CallTable(StreamContext& context);

    void accept(boost::asio::ip::tcp::socket socket) override;
    void acceptReadiness(boost::asio::ip::tcp::socket) override { }
    void execute(StreamCommand&& command) override;
    void sweep() override;
    void closeIdleConnections() override;
    void closeAll() override;
    [[nodiscard]] bool hasConnections() const noexcept override { return !connections_.empty(); }
    [[nodiscard]] bool owesAnswers() const noexcept override { return anyOwesAnswer(connections_); }
    [[nodiscard]] std::size_t attempts() const noexcept override { return running_.size(); }
    [[nodiscard]] StreamCounts counts() const override;

    void requestReceived(CallerConnection& connection, CallerMessage&& request) override;
    void requestRejected(CallerConnection& connection, const RejectedRequest& rejected) override;
    void callerDisconnected(CallerConnection& connection) override;
    void callerDrained(CallerConnection& connection) override;
    void connectionClosed(CallerConnection& connection) override;
    void answerPartReceived(Attempt& attempt, std::string part) override;
    void attemptEnded(Attempt& attempt, AttemptResult result, std::string detail) override;

private:
    /** A running attempt, with its call and the token count that the core was last sent. */
    struct Running {
        std::shared_ptr<Attempt> attempt;
        std::shared_ptr<Call> call;
        bool plain = false;
        std::int64_t reportedTokens = 0;
    };
    /** A caller's status query that waits for the core's answer until `until`. */
    struct StatusQuery {
        std::weak_ptr<CallerConnection> caller;
        std::chrono::steady_clock::time_point until;
    };

    void handleRequest(CallerConnection& connection, node::CallerRequest&& request);
    void handleStatusQuery(CallerConnection& connection, const RequestStatusQuery& query);
    void refuse(CallerConnection& connection, const node::Reply& refusal, std::string_view requestId);
    void execute(node::Dispatch&& dispatch);
    void execute(node::CancelAttempt&& cancel);
    void execute(node::Reply&& reply);
    void execute(node::OperatorReply&& reply);
    void execute(BeginIncarnation&& begin);
    /** Commands for proxied requests are ignored: ProxyCallTable executes them. */
    template <typename Other> void execute(Other&&) { }
    [[nodiscard]] AttemptOrder makeOrder(node::Dispatch&& dispatch, Call& call);
    void reportNotStarted(const node::Dispatch& dispatch);
    void reportProgress(Running& running, bool mustArrive);
    void expireStatusQueries();

    StreamContext& context_;
    BackendPool pool_;
    SilenceDetector silence_;
    std::uint64_t lastCallNumber_ = 0;
    CallerConnections connections_;
    std::unordered_map<CallId, std::shared_ptr<Call>> calls_;
    RunningAttempts<Running> running_;
    std::unordered_map<std::uint64_t, StatusQuery> statusQueries_;
};

} // namespace swiftlift::transport::internal
