#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "swiftlift/routing/LoadShedder.h"
#include "transport/Attempt.h"
#include "transport/BackendPool.h"
#include "transport/CallerConnection.h"
#include "transport/ProxyCall.h"
#include "transport/RunningAttempts.h"
#include "transport/StreamContext.h"
#include "transport/StreamTable.h"

namespace swiftlift::transport::internal {

/** All requests that are passed on as they came: brings the core's orders, callers and backend servers together. */
class ProxyCallTable final : public StreamTable, public CallerHost, public AttemptHost {
public:
    ProxyCallTable(StreamContext& context, std::shared_ptr<const ProxyDialect> dialect);

    void accept(boost::asio::ip::tcp::socket socket) override;
    void acceptReadiness(boost::asio::ip::tcp::socket socket) override;
    void execute(StreamCommand&& command) override;
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
    void callerDisconnected(CallerConnection& connection) override;
    void callerDrained(CallerConnection& connection) override;
    void connectionClosed(CallerConnection& connection) override;
    void answerPartCame(Attempt& attempt, std::string part) override;
    void attemptEnded(Attempt& attempt, AttemptResult result, std::string detail) override;

private:
    struct Running {
        std::shared_ptr<Attempt> attempt;
        std::shared_ptr<ProxyCall> call;
        std::uint64_t reportedEvents = 0;
    };

    void execute(node::ProxyDispatch&& order);
    void execute(node::ProxyFailureReply&& order);
    void execute(node::CancelAttempt&& cancel);
    void execute(node::Reply&& reply);
    void execute(node::AnnounceReadiness&& readiness);
    void execute(node::SetCallerLimits&& limits);
    void execute(BeginIncarnation&& begin);
    /** What concerns the services' own requests is another table's. */
    template <typename Other> void execute(Other&&) { }
    /** @return Whether the request is to be taken in; otherwise it has had its end. */
    [[nodiscard]] bool takenIn(CallerConnection& connection, const std::string& requestId);
    void dropLeft(CallerConnection& connection, const std::string& requestId);
    [[nodiscard]] AttemptOrder orderOf(const node::ProxyDispatch& passOn, ProxyCall& call) const;
    void addCaller(boost::asio::ip::tcp::socket socket, bool asksReadiness);
    void refuseOverloaded(CallerConnection& connection, const std::string& requestId);
    void answerReadiness(CallerConnection& connection);
    /** Says whether more callers should be sent here, and logs when that changes. */
    [[nodiscard]] bool wantsCallers();
    void reportCut(const ProxyCall& call);
    void reportFirstEvent(Running& running);
    [[nodiscard]] std::shared_ptr<ProxyCall> take(CallId call);

    StreamContext& context_;
    std::shared_ptr<const ProxyDialect> dialect_;
    BackendPool pool_;
    std::uint64_t lastNumber_ = 0;
    routing::LoadShedder intake_;
    /** The last word on more callers. */
    bool wantedCallers_ = true;
    node::AnnounceReadiness readiness_;
    CallerConnections connections_;
    /** Of these, the ones on which the platform asks whether this VM is ready. */
    std::unordered_set<const CallerConnection*> readinessAskers_;
    std::unordered_map<CallId, std::shared_ptr<ProxyCall>> calls_;
    RunningAttempts<Running> running_;
};

} // namespace swiftlift::transport::internal
