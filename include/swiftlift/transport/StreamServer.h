#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include "swiftlift/base/Ids.h"
#include "swiftlift/logging/JsonLog.h"
#include "swiftlift/node/Action.h"
#include "swiftlift/transport/BackendForwarders.h"
#include "swiftlift/transport/Endpoint.h"
#include "swiftlift/transport/ProxyDialect.h"
#include "swiftlift/transport/TaggedEvent.h"

namespace swiftlift::transport {

/** Starts a new incarnation of the core: attempts that an earlier incarnation left open are cancelled. */
struct BeginIncarnation {
    Incarnation incarnation;
};

/** Command from the decision thread to the streams thread. */
using StreamCommand = std::variant<node::Dispatch, node::CancelAttempt, node::Reply, node::OperatorReply,
    BeginIncarnation, node::ProxyDispatch, node::ProxyFailureReply, node::AnnounceReadiness, node::SetCallerLimits,
    node::ProbeBackend, node::AnswerRelay>;

/** Bit that is set in the number of a caller's status query and clear in that of an operator's query. */
inline constexpr std::uint64_t callersQuestion = std::uint64_t { 1 } << 63U;

/** Ring of commands to the streams thread. */
using StreamInbox = ring::Inbox<StreamCommand>;

/** Size and time limits of callers' and backend servers' connections. */
struct StreamLimits {
    /** Maximum number of open callers' connections; lowered to a part of the process's descriptors. */
    std::size_t connections = 4096;
    /** Length of the listening socket's accept queue, in connections; 0: the operating system's maximum. */
    int acceptBacklog = 0;
    /** Maximum size of a request's body. */
    std::size_t bodyBytes = 1024 * 1024;
    /** Maximum size of a request's header. */
    std::uint32_t headerBytes = 16 * 1024;
    /** Maximum number of bytes that are read from a caller while its current request is in progress. */
    std::size_t readAheadBytes = 64 * 1024;
    /**
     * Reading from the backend server pauses while more than `pauseAboveBytes` are unsent to its caller, and resumes
     * once fewer than `resumeBelowBytes` are.
     */
    std::size_t pauseAboveBytes = 64 * 1024;
    std::size_t resumeBelowBytes = 16 * 1024;
    /** Maximum size of an unstreamed answer: of the collected text, or of a plain service's body. */
    std::size_t answerBytes = 4 * 1024 * 1024;
    /**
     * Unstreamed answers of which more than this is collected are large: all of them together hold up to half of
     * `answerBytes`, and beyond that one at a time goes on.
     */
    std::size_t smallAnswerBytes = 32 * 1024;
    /** Maximum size of one line or event of a backend server's streamed answer. */
    std::size_t lineBytes = 64 * 1024;
    /** Maximum number of bytes that are read of one answer, including its framing and what is discarded. */
    std::size_t answerTotalBytes = 64 * 1024 * 1024;
    /** Maximum time from the end of connecting to the end of the answer. */
    std::chrono::milliseconds answerTime { 600'000 };
    /** Maximum number of bytes that are held for all connections together, before slow callers are disconnected. */
    std::size_t heldBytes = 32 * 1024 * 1024;
    /** Maximum number of idle connections that are kept per backend server. */
    std::size_t idlePerBackend = 32;
    /** Maximum number of idle connections to all backend servers; lowered to a part of the process's descriptors. */
    std::size_t idleBackends = 4096;
    /** Timeout for receiving a request's header, from its first byte. */
    std::chrono::milliseconds headerTime { 10'000 };
    /** Timeout for receiving a request's body, from the end of its header. */
    std::chrono::milliseconds bodyTime { 10'000 };
    /** Time after which a caller's connection without a request is closed. */
    std::chrono::milliseconds idleTime { 60'000 };
    /** A caller that accepts no byte for this time counts as disconnected. */
    std::chrono::milliseconds writeStallTime { 30'000 };
    /** Timeout for connecting to a backend server. */
    std::chrono::milliseconds connectTime { 1'000 };
    /** Time after which an idle connection to a backend server is closed that advertises no time itself. */
    std::chrono::milliseconds backendIdleTime { 30'000 };
    /** Maximum idle time of a kept connection that may carry a request which must not run twice. */
    std::chrono::milliseconds freshIdleTime { 1'000 };
    /** Maximum silence of a backend server, for a dispatch that sets no limit. */
    std::chrono::milliseconds defaultSilence { 30'000 };
    /** Number of events queued for the decision thread above which new requests are refused; 0: the ring's size. */
    std::size_t maxDecisionsWaiting = 0;
    /** Lag of the streams thread above which new requests are refused; zero: no limit. */
    std::chrono::milliseconds maxLag { 0 };
    /** Capacity of the VM's network link in each direction; 0: unknown. */
    std::uint64_t linkBytesPerSecond = 0;
    /** Wait of events for the decision thread above which the router is not ready; zero: no limit. */
    std::chrono::milliseconds readyEventDelay { 0 };
    /** Wait of events for the decision thread above which new requests are refused; zero: no limit. */
    std::chrono::milliseconds maxEventDelay { 0 };
    /** The VM's share of CPU time, as a number of cores; 0: unknown. */
    double cpuCores = 0;
    /** Time that the core has to answer a caller's status query. */
    std::chrono::milliseconds operatorTime { 2'000 };
    /** Minimum interval between two progress reports of one attempt. */
    std::chrono::milliseconds progressInterval { 100 };
    /** Interval at which streams are read in batches, after their first event; zero: each is read as data arrives. */
    std::chrono::milliseconds readInterval { 0 };
    /** Number of requests at backend servers from which on the loop polls its sockets only every `gatherTime`. */
    std::size_t gatherFrom = 0;
    /** Interval between two polls of the sockets under load; zero: sockets are handled as soon as they are ready. */
    std::chrono::milliseconds gatherTime { 0 };
};

/** Receives the token latencies that callers see. Called in the streams thread; must not block. */
class StreamObserver {
public:
    StreamObserver() = default;
    virtual ~StreamObserver() = default;
    StreamObserver(const StreamObserver&) = delete;
    StreamObserver& operator=(const StreamObserver&) = delete;

    /** @param sinceArrival Time from the request's arrival to its first token. */
    virtual void firstToken(std::chrono::microseconds sinceArrival) = 0;
    /** @param gap Time between two successive tokens of one request. */
    virtual void betweenTokens(std::chrono::microseconds gap) = 0;
};

/** Maximum waits of a planned stop, from its beginning on. */
struct StopLimits {
    /** For callers to close their connections, and for requests that are still being received. */
    std::chrono::milliseconds connections {};
    /** For the answers to received requests to be written, while their callers read. */
    std::chrono::milliseconds answers {};
};

/** Counters since the start of the streams thread, and current table sizes; for metrics and tests. */
struct StreamCounts {
    /** Answers, or lines of answers, that didn't belong to the request. */
    std::uint64_t foreignLines = 0;
    /** Times that reading from a backend server was paused for a slow caller. */
    std::uint64_t pauses = 0;
    /** New connections to backend servers. */
    std::uint64_t backendConnects = 0;
    /** Attempts that reused a kept connection. */
    std::uint64_t backendReuses = 0;
    /** Idle connections to backend servers. */
    std::size_t idleBackends = 0;
    /** Requests and connections refused under overload. */
    std::uint64_t overloaded = 0;
    /** Requests whose callers had disconnected before the requests were read. */
    std::uint64_t leftUnread = 0;
    /** Open callers' connections. */
    std::size_t connections = 0;
    /** Running attempts. */
    std::size_t attempts = 0;
    /** Requests in progress. */
    std::size_t calls = 0;
    /** Connections that are relayed for other routers. */
    std::size_t relays = 0;
    /** Used part of the VM's share of CPU time over the last second; 0: unknown. */
    double cpuShare = 0;
    /** Largest number of unsent bytes that a single caller's connection has had. */
    std::size_t mostUnsentBytes = 0;
    /** Bytes that are held for all connections: received and not yet handled, or not yet passed to a socket. */
    std::size_t heldBytes = 0;
    /** Largest number of held bytes so far. */
    std::size_t mostHeldBytes = 0;
    /** Answers that were ended because they exceeded a limit on size or time. */
    std::uint64_t endlessAnswers = 0;
    /** Callers that were disconnected because they read nothing while too many bytes were held. */
    std::uint64_t slowCallersClosed = 0;
};

/**
 * @brief Runs the streams thread: HTTP connections of callers and of the backend servers that answer them.
 *
 * One thread with one event loop serves both ends of each stream, so that both have the same state for every token:
 * which tokens the caller has received, when reading pauses for a slow caller, when the attempt is cancelled. See
 * docs/TRANSPORT.md.
 */
class StreamServer {
public:
    /**
     * Objects passed by reference must outlive the server.
     * @param dialect Set: requests are proxied unchanged, with this dialect's headers. Null: callers and backend
     * servers use the project's own protocol.
     */
    StreamServer(StreamLimits limits, DecisionInbox& decisions, StreamObserver& observer, logging::JsonLog& log,
        std::shared_ptr<const ProxyDialect> dialect = nullptr);
    ~StreamServer();
    StreamServer(const StreamServer&) = delete;
    StreamServer& operator=(const StreamServer&) = delete;

    /**
     * @brief Listens for callers.
     * @param endpoint Address to bind; port 0 selects a free port.
     * @return False if the address could not be bound; lastReason() then gives the reason.
     */
    [[nodiscard]] bool listen(const Endpoint& endpoint);
    /** @brief Like listen(), for the load balancer's readiness checks. */
    [[nodiscard]] bool listenReadiness(const Endpoint& endpoint);
    /** @brief Like listen(), for other routers' connections to backend servers. */
    [[nodiscard]] bool listenRelay(const Endpoint& endpoint);
    /** @return Why the last listen() or listenReadiness() failed. */
    [[nodiscard]] const std::string& lastReason() const noexcept;
    /** @return The port on which callers are accepted. */
    [[nodiscard]] std::uint16_t port() const;

    /** Sets the forwarders through which backend servers are reached. To be called before start(). */
    void setForwarders(BackendForwarders forwarders);

    /** Starts the thread. */
    void start();

    /**
     * @brief Stops accepting connections, waits until pending answers are written, then ends the thread.
     * @param limits Maximum waits.
     */
    void stop(const StopLimits& limits);
    /** @param limit Maximum wait for connections and for pending answers. */
    void stop(std::chrono::milliseconds limit);

    /** @return The ring of commands to this thread. */
    [[nodiscard]] StreamInbox& inbox() noexcept;

    /** @return A recent copy of the counters; callable from any thread. */
    [[nodiscard]] StreamCounts counts() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace swiftlift::transport
