#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Priority.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/node/KeyedRecords.h"
#include "swiftlift/node/PeerMessage.h"
#include "swiftlift/node/ProxyRequest.h"
#include "swiftlift/request/Outcome.h"
#include "swiftlift/routing/Announcement.h"
#include "swiftlift/routing/ConnectResult.h"

namespace swiftlift::node {

using swiftlift::Priority;

/** A caller's request, parsed and within the transport's limits. Nothing in it has been checked against the ledger. */
struct CallerRequest {
    AccountId account;
    /** SHA-256 of the key that the caller presented, in hex. */
    std::string keyHash;
    ServiceName service;
    CallerRequestId id;
    /** Hash of account and id. */
    RequestKey key;
    /** Number of the caller's attempt: 1 for the first, 2 and up for repetitions. */
    std::uint32_t attempt = 1;
    /** Time allowed from arrival; nullopt: the service's default. */
    std::optional<Duration> deadline;
    bool idempotent = true;
    Priority priority = Priority::Normal;
    bool stream = false;
    /** Body as received. */
    std::string body;
    /** Only for model services: tokens of the prompt, maximum tokens of the answer, hash of the prompt's prefix. */
    Tokens promptTokens;
    Tokens maxAnswerTokens;
    std::uint64_t prefixHash = 0;
};

/** A caller's request has been received completely. */
struct RequestArrived {
    CallId call;
    CallerRequest request;
};
/** The caller's connection has closed; no answer can be sent on it any more. */
struct CallerDisconnected {
    CallId call;
};
using request::AttemptEnd;
/** Tokens of the answer have been forwarded to the caller. */
struct AttemptProgress {
    AttemptId attempt;
    /** Tokens forwarded to the caller so far, those of earlier attempts that were resumed included. */
    Tokens answerTokens;
};
/** An attempt to run a request at a backend server has ended. */
struct AttemptEnded {
    AttemptId attempt;
    AttemptEnd end = AttemptEnd::Broken;
    Tokens promptTokens;
    Tokens answerTokens;
    Tokens cachedPromptTokens;
    /** Explanation for logs. */
    std::string detail;
    /** What the answer's head states about the backend server; nullopt: no head was received. */
    std::optional<routing::Announcement> announcement = std::nullopt;
    ConnectFailure connectFailure = ConnectFailure::None;
};
/** Something has arrived on a connection that this router itself made to a backend server. */
struct BackendConnected {
    BackendId backend;
};
/** A probe of the link to a backend server has ended. */
struct ProbeEnded {
    BackendId backend;
    routing::ConnectResult result = routing::ConnectResult::Unreachable;
    /** Explanation for logs. */
    std::string detail;
};
/** Requests run at backend servers, and none of these has sent anything for some time. */
struct BackendsSilent { };
/** Another router asks for a connection to a backend server, as it can't reach the server itself. */
struct RelayRequested {
    RelayId relay;
    BackendId backend;
};
/** A relayed connection has ended, or was never made. */
struct RelayEnded {
    RelayId relay;
    /** Bytes that were relayed in both directions. */
    std::uint64_t bytes = 0;
    /** Explanation for logs. */
    std::string detail;
    /** What was wrong with the connection to the backend server. */
    ConnectFailure failure = ConnectFailure::None;
};
/** A backend server has stated something about itself in the head of an answer. */
struct BackendAnnounced {
    BackendId backend;
    routing::Announcement announcement;
};
/** Records read from a stream, in order; `first` is the offset of the first record. */
struct LogRecords {
    StreamName stream;
    Offset first;
    std::vector<std::string> records;
    /** End of the stream as the log reported it; nullopt: a peer sent the records. */
    std::optional<Offset> end;
};
/** The offset to read from has expired; `oldest` is the oldest offset that the log still has. */
struct LogExpired {
    StreamName stream;
    Offset oldest;
};
/** A read or append failed or timed out. The log may still store the appended record at any later time. */
struct LogUnreachable {
    StreamName stream;
    std::string detail;
};
/** The result of a ReadEnd. */
struct StreamEnd {
    StreamName stream;
    /** The number of the ReadEnd. */
    std::uint64_t number = 0;
    /** Offset after the stream's last record; nullopt: the log did not answer. */
    std::optional<Offset> end;
    /** Why there is no answer. */
    std::string detail {};
};
/** The log answered an append. The record counts only once it has been read back from the stream. */
struct AppendAnswered {
    StreamName stream;
};
/** Calls to the log that concern one stream, since the previous LogCalls. */
struct StreamCalls {
    StreamName stream;
    std::uint32_t reads = 0;
    /** Reads without an answer, or with one that could not be used; part of `reads`. */
    std::uint32_t failedReads = 0;
    /** Bytes of the reads' answers, without heads. */
    std::uint64_t readBytes = 0;
    /** Longest time that a read was under way. A long poll waits for records for part of it. */
    Duration longestRead {};
    std::uint32_t appends = 0;
    /** Appends without an answer, or refused by the log; part of `appends`. */
    std::uint32_t failedAppends = 0;
    std::uint64_t appendBytes = 0;
    /** Longest time that an append was under way. */
    Duration longestAppend {};
};
/** This router's calls to the log of about the last second. */
struct LogCalls {
    std::vector<StreamCalls> streams;
};
/** A message from a peer router has been received. */
struct PeerReceived {
    Incarnation sender;
    PeerAddress address;
    PeerMessage message;
    /** Only for messages about grants and loans: ledger shard in which their ids are valid. */
    std::uint32_t shard = 0;
    /** When the message arrived; nullopt: not known, the moment at which this is handled counts. */
    std::optional<Instant> arrivedAt = {};
};
/** One VM of the platform's list. */
struct ListedVm {
    PeerAddress address;
    FailureDomain domain;
    Region region;
    bool leaving = false;
};
/** The platform's list of VMs has been read. It lags behind the fleet, so it is only a hint. */
struct VmListRead {
    std::vector<ListedVm> vms;
};
/** A backend server's load report, or the failure to get one. */
struct BackendLoad {
    BackendId backend;
    /** False: no report could be read, and the other fields have no meaning. */
    bool reachable = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double stepMilliseconds = 0;
    std::vector<std::string> models;
    bool leaving = false;
    std::uint64_t generation = 0;
};
enum class CacheEventKind : std::uint8_t { Stored, Evicted };
/** A change of the prefix cache of a backend server. */
struct CacheEvent {
    std::uint64_t sequence = 0;
    CacheEventKind kind = CacheEventKind::Stored;
    std::uint64_t prefixHash = 0;
};
/** New cache events of a backend server have been read. */
struct CacheEventsRead {
    BackendId backend;
    std::vector<CacheEvent> events;
};
/** A backend server answered an order. */
struct OrderAnswered {
    BackendId backend;
    bool accepted = false;
    std::uint64_t fencing = 0;
};
/** This router has begun or ceased to ask the load balancer for no new callers, because of its CPU use or lag. */
struct OverloadChanged {
    bool overloaded = false;
};
/** Timer event; occurs at least every 50 ms. */
struct Tick {
    /** Longest time for which an event handled since the previous tick had waited, or this tick is late. */
    Duration delay {};
};
/** The operator or the platform requests a stop of this process. Requests in progress must still be completed. */
struct StopRequested {
    /** When it was requested; nullopt: now. */
    std::optional<Instant> at = std::nullopt;
};
/** A query by an operator; answered by an OperatorReply with JSON. */
struct OperatorAsked {
    std::uint64_t question = 0;
    /** `status`, `budgets`, `vms`, `backends`, `services` or `explain`. */
    std::string topic;
    /** For `explain`: the caller's request id. */
    std::string argument;
};

using Event = std::variant<RequestArrived, CallerDisconnected, AttemptProgress, AttemptEnded, LogRecords, LogExpired,
    LogUnreachable, AppendAnswered, PeerReceived, VmListRead, BackendLoad, CacheEventsRead, OrderAnswered, Tick,
    StopRequested, OperatorAsked, KeyedRecords, ProxyRequestArrived, ProxyAttemptProgress, ProxyAttemptEnded,
    ProxyRequestAbandoned, BackendAnnounced, BackendConnected, ProbeEnded, BackendsSilent, RelayRequested, RelayEnded,
    OverloadChanged, StreamEnd, LogCalls>;

} // namespace swiftlift::node
