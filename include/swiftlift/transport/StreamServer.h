#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "swiftlift/base/Ids.h"
#include "swiftlift/logging/JsonLog.h"
#include "swiftlift/node/Action.h"
#include "swiftlift/transport/Endpoint.h"
#include "swiftlift/transport/ProxyDialect.h"
#include "swiftlift/transport/TaggedEvent.h"

namespace swiftlift::transport {

/** From here on a new core gives the orders; what an earlier one left open is ended. */
struct BeginIncarnation {
    Incarnation incarnation;
};

/** What the decision thread asks of the streams thread. */
using StreamCommand = std::variant<node::Dispatch, node::CancelAttempt, node::Reply, node::OperatorReply,
    BeginIncarnation, node::ProxyDispatch, node::ProxyFailureReply, node::AnnounceReadiness, node::SetCallerLimits>;

/** Bit that tells callers' questions from operators'. */
inline constexpr std::uint64_t callersQuestion = std::uint64_t { 1 } << 63U;

using StreamInbox = ring::Inbox<StreamCommand>;

/** Bounds of callers' and backend servers' connections. */
struct StreamLimits {
    std::size_t connections = 4096;
    /** Callers' connections that the system keeps until they are accepted; 0: as many as it can. */
    int acceptBacklog = 0;
    std::size_t bodyBytes = 1024 * 1024;
    std::uint32_t headerBytes = 16 * 1024;
    /** Bytes of a caller's next request that are taken in while its present one is in progress. */
    std::size_t readAheadBytes = 64 * 1024;
    /** Unsent bytes of a caller above which its backend server isn't read, and below which it is again. */
    std::size_t pauseAboveBytes = 64 * 1024;
    std::size_t resumeBelowBytes = 16 * 1024;
    /** Of a whole answer: the text collected, or a plain service's body. */
    std::size_t answerBytes = 4 * 1024 * 1024;
    std::size_t lineBytes = 64 * 1024;
    std::size_t idlePerBackend = 32;
    std::chrono::milliseconds headerTime { 10'000 };
    std::chrono::milliseconds bodyTime { 10'000 };
    std::chrono::milliseconds idleTime { 60'000 };
    /** A caller that takes no byte for that long is taken for gone. */
    std::chrono::milliseconds writeStallTime { 30'000 };
    std::chrono::milliseconds connectTime { 1'000 };
    std::chrono::milliseconds backendIdleTime { 30'000 };
    /** Idle for no longer than this, a kept connection may also carry what may run only once. */
    std::chrono::milliseconds freshIdleTime { 1'000 };
    /** Of a dispatch that names no limit of its own. */
    std::chrono::milliseconds defaultSilence { 30'000 };
    /** Events that may wait for the decision thread before new requests are refused; 0: as many as its ring holds. */
    std::size_t maxDecisionsWaiting = 0;
    /** The streams thread may be late by so much before new requests are refused; zero: by any time. */
    std::chrono::milliseconds maxLag { 0 };
    /** What the VM's link carries each way; 0: not known. */
    std::uint64_t linkBytesPerSecond = 0;
    std::chrono::milliseconds operatorTime { 2'000 };
    /** Shortest time between two reports of one attempt's progress. */
    std::chrono::milliseconds progressInterval { 100 };
    /** Streams are read together, so long apart, after their first event; zero: each as its events come. */
    std::chrono::milliseconds readInterval { 0 };
    /** With so many requests at backend servers and more, the loop looks at its sockets only `gatherTime` apart. */
    std::size_t gatherFrom = 0;
    /** Zero: it looks whenever something comes. */
    std::chrono::milliseconds gatherTime { 0 };
};

/** Is told what callers wait for. Called in the streams thread; must not block. */
class StreamObserver {
public:
    StreamObserver() = default;
    virtual ~StreamObserver() = default;
    StreamObserver(const StreamObserver&) = delete;
    StreamObserver& operator=(const StreamObserver&) = delete;

    virtual void firstToken(std::chrono::microseconds sinceArrival) = 0;
    virtual void betweenTokens(std::chrono::microseconds gap) = 0;
};

/** What has happened in the streams thread since its start; for metrics and tests. */
struct StreamCounts {
    std::uint64_t foreignLines = 0;
    std::uint64_t pauses = 0;
    std::uint64_t backendConnects = 0;
    std::uint64_t backendReuses = 0;
    std::uint64_t overloaded = 0;
    /** Requests whose callers had left before they were read. */
    std::uint64_t leftUnread = 0;
    std::size_t connections = 0;
    std::size_t attempts = 0;
    std::size_t calls = 0;
    /** Most unsent bytes that one caller ever had. */
    std::size_t mostUnsentBytes = 0;
};

/**
 * @brief The streams thread: callers' HTTP, and the backend servers' side of the same streams.
 *
 * One thread and one loop, because both ends of a stream have to agree on every token: what the caller has, when to
 * stop reading for a slow one, when to let go. See docs/TRANSPORT.md.
 */
class StreamServer {
public:
    /**
     * What is given by reference outlives the server.
     * @param dialect Set: requests are passed on as they came. Null: the project's own protocol is spoken.
     */
    StreamServer(StreamLimits limits, DecisionInbox& decisions, StreamObserver& observer, logging::JsonLog& log,
        std::shared_ptr<const ProxyDialect> dialect = nullptr);
    ~StreamServer();
    StreamServer(const StreamServer&) = delete;
    StreamServer& operator=(const StreamServer&) = delete;

    /** @return Whether the address could be taken; else see lastReason(). Port 0 takes a free one. */
    [[nodiscard]] bool listen(const Endpoint& endpoint);
    /** @brief As listen(), for whoever asks whether this VM may be sent callers. */
    [[nodiscard]] bool listenReadiness(const Endpoint& endpoint);
    [[nodiscard]] const std::string& lastReason() const noexcept;
    /** @return The port that is listened on. */
    [[nodiscard]] std::uint16_t port() const;

    void start();

    /** Accepts no more, waits until callers have what was written for them, but no longer than `limit`, then ends. */
    void stop(std::chrono::milliseconds limit);

    /** @return The ring of this thread. */
    [[nodiscard]] StreamInbox& inbox() noexcept;

    /** @return The counts as of a moment ago; from any thread. */
    [[nodiscard]] StreamCounts counts() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace swiftlift::transport
