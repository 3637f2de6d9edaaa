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

namespace swiftlift::node {

using swiftlift::Priority;

/** A caller's request, parsed and within the transport's own bounds; nothing in it has been checked against the ledger.
 */
struct CallerRequest {
    AccountId account;
    /** SHA-256 of the key the caller showed, in hex. */
    std::string keyHash;
    ServiceName service;
    CallerRequestId id;
    /** Hash of account and id. */
    RequestKey key;
    /** From 1; 2 and up when the caller asks again. */
    std::uint32_t attempt = 1;
    /** From arrival; nothing: the service's default. */
    std::optional<Duration> deadline;
    bool idempotent = true;
    Priority priority = Priority::Normal;
    bool stream = false;
    /** Raw body. */
    std::string body;
    /** Of a model service: tokens of the prompt, most tokens of the answer, hash of the prompt's prefix. */
    Tokens promptTokens;
    Tokens maxAnswerTokens;
    std::uint64_t prefixHash = 0;
};

struct RequestArrived {
    CallId call;
    CallerRequest request;
};
/** The caller's connection is gone; nothing more can be told it. */
struct CallerDisconnected {
    CallId call;
};
using request::AttemptEnd;
struct AttemptProgress {
    AttemptId attempt;
    /** Tokens passed on to the caller so far, resumed ones included. */
    Tokens answerTokens;
};
struct AttemptEnded {
    AttemptId attempt;
    AttemptEnd end = AttemptEnd::Broken;
    Tokens promptTokens;
    Tokens answerTokens;
    Tokens cachedPromptTokens;
    /** For logs. */
    std::string detail;
};
/** Records of a stream, in order from `first`. */
struct LogRecords {
    StreamName stream;
    Offset first;
    std::vector<std::string> records;
    /** The stream's end as the log told it; nothing when the records came from a peer. */
    std::optional<Offset> end;
};
/** The offset asked for has expired; the oldest one kept is told. */
struct LogExpired {
    StreamName stream;
    Offset oldest;
};
/** A read or append failed or timed out; an append may still land at any later time. */
struct LogUnreachable {
    StreamName stream;
    std::string detail;
};
/** The append got its answer. Whether it counts is known only once it is read back. */
struct AppendAnswered {
    StreamName stream;
};
struct PeerReceived {
    Incarnation sender;
    PeerAddress address;
    PeerMessage message;
    /** Of messages on grants and loans: the shard of the ledger that numbers them. */
    std::uint32_t shard = 0;
};
struct ListedVm {
    PeerAddress address;
    FailureDomain domain;
    Region region;
    bool leaving = false;
};
/** The platform's list: lagging, advice only. */
struct VmListRead {
    std::vector<ListedVm> vms;
};
struct BackendLoad {
    BackendId backend;
    /** Nothing: the report could not be had. */
    bool reachable = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double stepMilliseconds = 0;
    std::vector<std::string> models;
    bool leaving = false;
    std::uint64_t generation = 0;
};
enum class CacheEventKind : std::uint8_t { Stored, Evicted };
struct CacheEvent {
    std::uint64_t sequence = 0;
    CacheEventKind kind = CacheEventKind::Stored;
    std::uint64_t prefixHash = 0;
};
struct CacheEventsRead {
    BackendId backend;
    std::vector<CacheEvent> events;
};
struct OrderAnswered {
    BackendId backend;
    bool accepted = false;
    std::uint64_t fencing = 0;
};
/** Comes at least every 50 ms. */
struct Tick { };
/** The operator or the platform wants this process to end; nothing in progress may be cut off. */
struct StopRequested { };
/** An operator's question; answered by an OperatorReply with JSON. */
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
    ProxyRequestAbandoned>;

} // namespace swiftlift::node
