#pragma once

#include <atomic>
#include <deque>

#include "swiftlift/logging/JsonLog.h"
#include "swiftlift/ring/Outbox.h"
#include "swiftlift/transport/ActionSink.h"
#include "swiftlift/transport/LogClient.h"
#include "swiftlift/transport/Metrics.h"
#include "swiftlift/transport/OperatorServer.h"
#include "swiftlift/transport/PeerLinks.h"
#include "swiftlift/transport/PlatformClient.h"
#include "swiftlift/transport/StreamServer.h"

namespace swiftlift::transport {

/** References to the components, each with threads of its own, that do I/O for the decision thread. */
struct ActionTargets {
    StreamServer& streams;
    LogClient& log;
    PeerLinks& peers;
    PlatformClient& platform;
    OperatorServer& operators;
    Metrics& metrics;
    logging::JsonLog& journal;
};

/** Passes each action of the core to the component that carries it out. Used only in the decision thread. */
class ActionExecutor : public ActionSink {
public:
    /** @param duties Components that carry the actions out; all outlive the executor. */
    explicit ActionExecutor(ActionTargets targets);

    void execute(node::Action&& action) override;
    void flush() override;
    void beginIncarnation(Incarnation incarnation) override;

    /** @return Whether the core has reported that the process may exit. Can be called from any thread. */
    [[nodiscard]] bool stopReady() const noexcept { return stopReady_.load(); }

private:
    void carryOut(node::Dispatch&& action);
    void carryOut(const node::CancelAttempt& action);
    void carryOut(node::Reply&& action);
    void carryOut(node::Append&& action);
    void carryOut(node::Follow&& action);
    void carryOut(const node::PaceReads& action);
    void carryOut(const node::ExpediteRead& action);
    void carryOut(node::ReadEnd&& action);
    void carryOut(node::ReportLogCalls&& action);
    void carryOut(node::SendPeer&& action);
    void carryOut(node::WatchBackends&& action);
    void carryOut(node::SendOrder&& action);
    void carryOut(node::LogLine&& action);
    void carryOut(node::CountMetric&& action);
    void carryOut(node::GaugeMetric&& action);
    void carryOut(node::OperatorReply&& action);
    void carryOut(node::StopReady&& action);
    void carryOut(node::Restart&& action);
    void carryOut(node::ProxyDispatch&& action);
    void carryOut(const node::ProxyFailureReply& action);
    void carryOut(const node::AnnounceReadiness& action);
    void carryOut(const node::SetCallerLimits& action);
    void carryOut(node::ProbeBackend&& action);
    void carryOut(node::AnswerRelay&& action);

    ActionTargets targets_;
    ring::Outbox<StreamCommand> streamCommands_;
    ring::Outbox<PlatformCommand> platformCommands_;
    std::deque<node::Append> appends_;
    std::atomic<bool> stopReady_ = false;
};

} // namespace swiftlift::transport
