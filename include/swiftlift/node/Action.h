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

/** Have the request of `call` run by `backend`; pass its answer on to the caller as it comes. */
struct Dispatch {
    CallId call;
    AttemptId attempt;
    BackendId backend;
    BackendKind kind = BackendKind::Model;
    RequestKey key;
    Priority priority = Priority::Normal;
    std::string body;
    /** Tokens the caller already has, to be skipped when a stream is resumed or run again. */
    Tokens resumeFrom;
    /** How long the backend server may take to answer at all, and between two tokens. */
    Duration silenceLimit {};
};
/** Give the attempt up: close its connection; it reports nothing any more. */
struct CancelAttempt {
    AttemptId attempt;
};
/** The final word to a caller. For Answered: the attempt's whole answer with the bill. */
struct Reply {
    CallId call;
    Outcome outcome = Outcome::Unknown;
    int status = 200;
    std::string reason;
    std::string detail;
    std::optional<Duration> retryAfter;
    Tokens billed;
};
/** Append one record. At most one append per stream is under way; the core repeats it when it has to. */
struct Append {
    StreamName stream;
    std::string record;
    /** Of a stream with keys: the record's key. Without a record, the key is dropped. */
    std::string key {};
};
/** What a stream's records are. */
enum class StreamKind : std::uint8_t {
    /** Told as LogRecords, from an offset on. */
    Plain,
    /** Told as KeyedRecords: first all keys, then what changes. */
    Keyed,
    /** As Keyed, but all keys once, and no more. */
    KeyedOnce,
};
/** Read from here on, by long poll, until told otherwise: from then on the transport follows the stream itself. */
struct Follow {
    StreamName stream;
    Offset from;
    StreamKind kind = StreamKind::Plain;
    /** Between the end of a read and the next one; a busy stream answers each read at once. */
    Duration pause {};
};
/** The next read of a followed stream waits no longer: something that it brings is waited for here. */
struct ExpediteRead {
    StreamName stream;
};
struct SendPeer {
    PeerAddress to;
    /** 0: whoever listens there. */
    Incarnation receiver;
    PeerMessage message;
    /** Of messages on grants and loans: the shard of the ledger that numbers them. */
    std::uint32_t shard = 0;
};
/** Poll these backend servers' load and cache events from now on; replaces the former set. */
struct WatchBackends {
    std::vector<BackendId> models;
    std::vector<BackendId> plain;
};
struct SendOrder {
    BackendId backend;
    std::uint64_t fencing = 0;
    /** JSON body, see docs/PROTOCOLS.md section 2. */
    std::string body;
    /** From then on it may not be sent any more: another router may have the order lease. */
    std::optional<Instant> notAfter;
};
/** One JSON line in the log: `kind`, then the fields as text or numbers. */
struct LogField {
    std::string name;
    std::variant<std::string, std::int64_t, double, bool> value;
};
struct LogLine {
    /** For example `route`, `refuse`, `grant`, `seal`, `membership`, `config`. */
    std::string kind;
    std::vector<LogField> fields;
};
/** A metric's new value or increment; the transport maps names to Prometheus families. */
struct CountMetric {
    std::string name;
    std::vector<std::pair<std::string, std::string>> labels;
    double add = 1;
};
struct GaugeMetric {
    std::string name;
    std::vector<std::pair<std::string, std::string>> labels;
    double value = 0;
};
struct OperatorReply {
    std::uint64_t question = 0;
    std::string json;
};
/** Everything in progress has ended: the process may exit. */
struct StopReady { };

/**
 * This incarnation is over (the ledger has retired it) and nothing is in progress: go on with a new Core under a new
 * incarnation.
 */
struct Restart {
    std::string reason;
};

using Action = std::variant<Dispatch, CancelAttempt, Reply, Append, Follow, ExpediteRead, SendPeer, WatchBackends,
    SendOrder, LogLine, CountMetric, GaugeMetric, OperatorReply, StopReady, Restart, ProxyDispatch, ProxyFailureReply,
    AnnounceReadiness, SetCallerLimits>;
using Actions = std::vector<Action>;

} // namespace swiftlift::node
