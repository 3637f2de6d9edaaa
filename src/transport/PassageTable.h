#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "swiftlift/routing/Intake.h"
#include "transport/Attempt.h"
#include "transport/BackendPool.h"
#include "transport/CallerConnection.h"
#include "transport/PassageCall.h"
#include "transport/RunningAttempts.h"
#include "transport/StreamContext.h"
#include "transport/StreamTable.h"

namespace swiftlift::transport::internal {

/** All requests that are passed on as they came: brings the core's orders, callers and backend servers together. */
class PassageTable final : public StreamTable, public CallerHost, public AttemptHost {
public:
    PassageTable(StreamContext& context, std::shared_ptr<const PassageDialect> dialect);

    void accept(boost::asio::ip::tcp::socket socket) override;
    void acceptReadiness(boost::asio::ip::tcp::socket socket) override;
    void carryOut(StreamCommand&& command) override;
    void sweep() override;
    void closeIdleConnections() override;
    void closeAll() override;
    [[nodiscard]] bool hasConnections() const noexcept override
    {
        return connections_.size() > readinessAskers_.size();
    }
    [[nodiscard]] std::size_t attempts() const noexcept override { return running_.size(); }
    [[nodiscard]] StreamCounts counts() const override;

    void requestCame(CallerConnection& connection, CallerMessage&& request) override;
    void requestUnreadable(CallerConnection& connection, const UnreadableRequest& why) override;
    void callerGone(CallerConnection& connection) override;
    void callerDrained(CallerConnection& connection) override;
    void connectionClosed(CallerConnection& connection) override;
    void answerPartCame(Attempt& attempt, std::string part) override;
    void attemptEnded(Attempt& attempt, AttemptResult result, std::string detail) override;

private:
    struct Running {
        std::shared_ptr<Attempt> attempt;
        std::shared_ptr<PassageCall> call;
        std::uint64_t reportedEvents = 0;
    };

    void carryOut(node::PassOn&& order);
    void carryOut(node::PassFailureOn&& order);
    void carryOut(node::CancelAttempt&& cancel);
    void carryOut(node::Reply&& reply);
    void carryOut(node::AnnounceReadiness&& readiness);
    void carryOut(node::SetCallerLimits&& limits);
    void carryOut(BeginIncarnation&& begin);
    /** What concerns the services' own requests is another table's. */
    template <typename Other> void carryOut(Other&&) { }
    /** @return Whether the request is to be taken in; otherwise it has had its end. */
    [[nodiscard]] bool takenIn(CallerConnection& connection, const std::string& requestId);
    void dropLeft(CallerConnection& connection, const std::string& requestId);
    [[nodiscard]] AttemptOrder orderOf(const node::PassOn& passOn, PassageCall& call) const;
    void addCaller(boost::asio::ip::tcp::socket socket, bool asksReadiness);
    void refuseOverloaded(CallerConnection& connection, const std::string& requestId);
    void answerReadiness(CallerConnection& connection);
    /** Says whether more callers should be sent here, and logs when that changes. */
    [[nodiscard]] bool wantsCallers();
    void reportCut(const PassageCall& call);
    void reportFirstEvent(Running& running);
    [[nodiscard]] std::shared_ptr<PassageCall> take(CallId call);

    StreamContext& context_;
    std::shared_ptr<const PassageDialect> dialect_;
    BackendPool pool_;
    std::uint64_t lastNumber_ = 0;
    routing::Intake intake_;
    /** The last word on more callers. */
    bool wantedCallers_ = true;
    node::AnnounceReadiness readiness_;
    CallerConnections connections_;
    /** Of these, the ones on which the platform asks whether this VM is ready. */
    std::unordered_set<const CallerConnection*> readinessAskers_;
    std::unordered_map<CallId, std::shared_ptr<PassageCall>> calls_;
    RunningAttempts<Running> running_;
};

} // namespace swiftlift::transport::internal
