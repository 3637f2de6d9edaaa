#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/node/Event.h"
#include "swiftlift/node/PeerMessage.h"
#include "swiftlift/node/ProxyRequest.h"
#include "swiftlift/request/Outcome.h"

namespace swiftlift::node {

using request::Outcome;

enum class BackendKind : std::uint8_t { Model, Plain };

/** Send the request of `call` to `backend` and forward its answer to the caller as it is received. */
struct Dispatch {
    CallId call;
    AttemptId attempt;
    BackendId backend;
    BackendKind kind = BackendKind::Model;
    RequestKey key;
    Priority priority = Priority::Normal;
    std::string body;
    /** Tokens that the caller already has; skipped when a stream is resumed or run again. */
    Tokens resumeFrom;
    /** Maximum time until the backend server's first token, and between two tokens. */
    Duration silenceLimit {};
    /** The peer that relays the connection; nullopt: this router connects itself. */
    std::optional<RelayRoute> relay = std::nullopt;
};
/** Connect to the backend server, send nothing, and report with ProbeEnded whether that succeeded. */
struct ProbeBackend {
    BackendId backend;
    BackendAddress address;
};
/** Answer another router's request for a connection to a backend server. */
struct AnswerRelay {
    RelayId relay;
    /** The server's address; nullopt: the request is refused. */
    std::optional<BackendAddress> address;
    /** Why the request is refused. */
    std::string reason {};
    /** It is refused because of what is known of the server: connections to others may be accepted. */
    bool concernsServer = false;
};
/** Abandon the attempt: close its connection and emit no further events of it. */
struct CancelAttempt {
    AttemptId attempt;
};
/** End the call with this result. With Answered: the attempt's whole answer and the billed tokens. */
struct Reply {
    CallId call;
    Outcome outcome = Outcome::Unknown;
    int status = 200;
    std::string reason;
    std::string detail;
    std::optional<Duration> retryAfter;
    Tokens billed;
};
/** Append a record, or several to a keyed stream. At most one append per stream is in flight; the core repeats it if
 * necessary. */
struct Append {
    StreamName stream;
    std::string record;
    /** Only for keyed streams: the record's key. An empty record deletes the key. */
    std::string key {};
    /** Only for keyed streams: further records as pairs of key and value; the log takes all of them or none. */
    std::vector<std::pair<std::string, std::string>> further {};
};
/** Whether a stream's records have keys, and how they are read. */
enum class StreamKind : std::uint8_t {
    /** Without keys: delivered as LogRecords from an offset on. */
    Plain,
    /** Delivered as KeyedRecords: first all keys, then each change. */
    Keyed,
    /** Delivered as KeyedRecords: all keys once, without later changes. */
    KeyedOnce,
};
/**
 * Read the stream by long poll from this offset on, until another Follow of the same stream replaces this one. The
 * transport advances the offset itself.
 */
struct Follow {
    StreamName stream;
    Offset from;
    StreamKind kind = StreamKind::Plain;
    /** Time between the end of a read and the next read. Without it, a busy stream would be read continuously. */
    Duration pause {};
};
/** Change the pause of a followed stream. */
struct PaceReads {
    StreamName stream;
    Duration pause {};
};
/** Start the next read of a followed stream without the remaining pause, because the core waits for its records. */
struct ExpediteRead {
    StreamName stream;
};
/** Ask the log for the end of a stream, in a call that begins after this action; answered by a StreamEnd. */
struct ReadEnd {
    StreamName stream;
    /** Offset up to which the core has the stream's records. */
    Offset from;
    std::uint64_t number = 0;
};
/** Report the calls to the log since the previous report, with a LogCalls. */
struct ReportLogCalls { };
/** Send a message to a peer router. */
struct SendPeer {
    PeerAddress to;
    /** Incarnation that the message is meant for; 0: any incarnation at the address. */
    Incarnation receiver;
    PeerMessage message;
    /** Only for messages about grants and loans: ledger shard in which their ids are valid. */
    std::uint32_t shard = 0;
};
/** Poll the load and cache events of these backend servers from now on; replaces the previous set. */
struct WatchBackends {
    std::vector<BackendId> models;
    std::vector<BackendId> plain;
};
/** Send an order to a backend server. */
struct SendOrder {
    BackendId backend;
    std::uint64_t fencing = 0;
    /** JSON body, see docs/PROTOCOLS.md section 2. */
    std::string body;
    /** The order must not be sent from this moment on, because another router may hold the order lease. */
    std::optional<Instant> notAfter;
};
/** One field of a log line. */
struct LogField {
    std::string name;
    std::variant<std::string, std::int64_t, double, bool> value;
};
/** One JSON line in the log: `kind`, then the fields. */
struct LogLine {
    /** Name of the log event, for example `route`, `refuse`, `grant`, `seal`, `membership`, `config`. */
    std::string kind;
    std::vector<LogField> fields;
};
/** Increment of a counter; the transport maps its name to a Prometheus family. */
struct CountMetric {
    std::string name;
    std::vector<std::pair<std::string, std::string>> labels;
    double add = 1;
};
/** New value of a gauge; the transport maps its name to a Prometheus family. */
struct GaugeMetric {
    std::string name;
    std::vector<std::pair<std::string, std::string>> labels;
    double value = 0;
};
/** Answer to the operator's query with this number. */
struct OperatorReply {
    std::uint64_t question = 0;
    std::string json;
};
/** Nothing is in progress any more: the process may exit. */
struct StopReady { };

/**
 * The ledger has retired this incarnation and nothing is in progress any more: continue with a new Core under a new
 * incarnation.
 */
struct Restart {
    std::string reason;
};

using Action = std::variant<Dispatch, CancelAttempt, Reply, Append, Follow, PaceReads, ExpediteRead, ReadEnd, SendPeer,
    WatchBackends, SendOrder, LogLine, CountMetric, GaugeMetric, OperatorReply, StopReady, Restart, ProxyDispatch,
    ProxyFailureReply, AnnounceReadiness, SetCallerLimits, ProbeBackend, AnswerRelay, ReportLogCalls>;
using Actions = std::vector<Action>;

} // namespace swiftlift::node
