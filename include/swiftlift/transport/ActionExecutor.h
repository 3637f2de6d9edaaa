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

/** The threads that do I/O for the decision thread. */
struct Duties {
    StreamServer& streams;
    LogClient& log;
    PeerLinks& peers;
    PlatformClient& platform;
    OperatorServer& operators;
    Metrics& metrics;
    logging::JsonLog& journal;
};

/** Hands each of the core's actions to the thread whose duty it is. Lives in the decision thread. */
class ActionExecutor : public ActionSink {
public:
    explicit ActionExecutor(Duties duties);

    void execute(node::Action&& action) override;
    void flush() override;
    void beginIncarnation(Incarnation incarnation) override;

    /** @return Whether the core has said that the process may exit; for any thread. */
    [[nodiscard]] bool stopReady() const noexcept { return stopReady_.load(); }

private:
    void take(node::Dispatch&& action);
    void take(const node::CancelAttempt& action);
    void take(node::Reply&& action);
    void take(node::Append&& action);
    void take(node::Follow&& action);
    void take(const node::ExpediteRead& action);
    void take(node::SendPeer&& action);
    void take(node::WatchBackends&& action);
    void take(node::SendOrder&& action);
    void take(node::LogLine&& action);
    void take(node::CountMetric&& action);
    void take(node::GaugeMetric&& action);
    void take(node::OperatorReply&& action);
    void take(node::StopReady&& action);
    void take(node::Restart&& action);
    void take(node::ProxyDispatch&& action);
    void take(const node::ProxyFailureReply& action);
    void take(const node::AnnounceReadiness& action);
    void take(const node::SetCallerLimits& action);

    Duties duties_;
    ring::Outbox<StreamCommand> streamCommands_;
    ring::Outbox<PlatformCommand> platformCommands_;
    std::deque<node::Append> appends_;
    std::atomic<bool> stopReady_ = false;
};

} // namespace swiftlift::transport
