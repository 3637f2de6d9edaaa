#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "swiftlift/routing/LoadShedder.h"
#include "transport/Attempt.h"
#include "transport/BackendPool.h"
#include "transport/CallerConnection.h"
#include "transport/ProxyCall.h"
#include "transport/RunningAttempts.h"
#include "transport/SilenceDetector.h"
#include "transport/StreamContext.h"
#include "transport/StreamTable.h"

namespace swiftlift::transport::internal {

/** Proxied requests and their attempts; connects callers, backend servers and the core. */
class ProxyCallTable final : public StreamTable, public CallerConnectionHandler, public AttemptHandler {
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
        return connections_.size() > readinessConnections_.size();
    }
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
    /** @return The connections of callers, without those of readiness checks; a copy, as closing one removes it. */
    [[nodiscard]] std::vector<std::shared_ptr<CallerConnection>> callers() const;
    /** A running attempt, with its call and the event count that the core was last sent. */
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
    /** Commands for requests of the project's own protocol are ignored: CallTable executes them. */
    template <typename Other> void execute(Other&&) { }
    /** @return Whether load shedding admits the request; if not, it has been refused or dropped. */
    [[nodiscard]] bool admit(CallerConnection& connection, const std::string& requestId);
    /** Closes the connection of a request whose caller disconnected before the request was read. */
    void dropDisconnected(CallerConnection& connection, const std::string& requestId);
    [[nodiscard]] AttemptOrder makeOrder(const node::ProxyDispatch& dispatch, ProxyCall& call) const;
    void addCaller(boost::asio::ip::tcp::socket socket, bool isReadinessCheck);
    void refuseOverloaded(
        CallerConnection& connection, const std::string& requestId, const routing::ObservedLoad& load);
    /** Passes traffic, CPU use and the delay of events to the load shedder. */
    void observeLoad();
    /** Tells the core when an overload has begun or ended. */
    void reportOverload(bool overloaded);
    void answerReadiness(CallerConnection& connection);
    /** @return Whether the load balancer should send more callers to this VM. Logs when that changes. */
    [[nodiscard]] bool acceptsNewCallers();
    /** Reports a dispatched request as abandoned, with the number of events that its caller was sent. */
    void reportAbandoned(const ProxyCall& call);
    void reportFirstEvent(Running& running);
    [[nodiscard]] std::shared_ptr<ProxyCall> take(CallId call);

    StreamContext& context_;
    std::shared_ptr<const ProxyDialect> dialect_;
    BackendPool pool_;
    SilenceDetector silence_;
    std::uint64_t lastCallNumber_ = 0;
    routing::LoadShedder loadShedder_;
    /** The last result of acceptsNewCallers(). */
    bool acceptedNewCallers_ = true;
    /** What the core was last told with OverloadChanged. */
    bool reportedOverload_ = false;
    node::AnnounceReadiness readiness_;
    CallerConnections connections_;
    /** The subset of `connections_` that carries the load balancer's readiness checks. */
    std::unordered_set<const CallerConnection*> readinessConnections_;
    std::unordered_map<CallId, std::shared_ptr<ProxyCall>> calls_;
    RunningAttempts<Running> running_;
};

} // namespace swiftlift::transport::internal
