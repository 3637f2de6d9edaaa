#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/fleet/FleetConfig.h"
#include "swiftlift/node/RelayRoute.h"
#include "swiftlift/routing/Announcement.h"

namespace swiftlift::node {

// Requests that the fleet's configuration proxies unchanged. The transport keeps their bytes; the core decides by the
// fields below.

/** One part of a prompt's prefix. Two prompts share a part if it and all parts before it are equal in both. */
struct PrefixPart {
    std::uint64_t hash = 0;
    Tokens tokens;
};

/** The fields of a request that routing and the token ledger use. */
struct ProxyRequestInfo {
    /** The caller's id of this attempt; the caller uses a new id for each attempt. */
    std::string id;
    std::string host;
    /** Path of the request target, without the query. */
    std::string path;
    /** Key that the caller presented; empty: none. */
    std::string key;
    /** Time allowed from arrival; nullopt: only the route's time limit applies. */
    std::optional<Duration> deadline;
    Tokens promptTokens;
    Tokens maxAnswerTokens;
    /** Parts of the prompt, in order; the last part belongs to this request only. */
    std::vector<PrefixPart> prefix;
    /** Digest of the request's content, equal for each repetition of the request; nullopt: not known. */
    std::optional<ContentDigest> content;
    /** The caller has received events of the stream, and wants those after them. */
    bool continuesStream = false;
    /** Id of the caller's attempt that began the stream that this one continues; empty: not stated. */
    StreamId resumes;
};

/** A caller's request has been received completely. */
struct ProxyRequestArrived {
    CallId call;
    ProxyRequestInfo facts;
    /** When the request was complete. Its deadline counts from here, including the time until the core handles it. */
    Instant at {};
};

/** Events of the answer have been forwarded to the caller. */
struct ProxyAttemptProgress {
    AttemptId attempt;
    /** Events forwarded to the caller so far, those of earlier attempts included. */
    std::uint64_t events = 0;
};

/** How an attempt to run a request at a backend server ended. */
enum class ProxyAttemptEnd : std::uint8_t {
    /** The whole answer has been written to the caller. */
    Completed,
    /** The backend server could not be reached; nothing was sent. */
    Unreachable,
    /** The backend server reported that it did not start the request. */
    Refused,
    /** Another backend server now has this address; it did not start the request. */
    Misdirected,
    /** The backend server answered with a failure, which the transport keeps. */
    Failed,
    /** The request may have run: the connection broke, the answer was malformed, or the backend server fell silent. */
    Broken,
};

/** An attempt to run a request at a backend server has ended. */
struct ProxyAttemptEnded {
    AttemptId attempt;
    ProxyAttemptEnd end = ProxyAttemptEnd::Broken;
    /** Status of the answer; 0: there was no answer. */
    int status = 0;
    /** Events of the answer forwarded to the caller, those of earlier attempts included. */
    std::uint64_t events = 0;
    /** Explanation for logs. */
    std::string detail;
    /** The connection ended in the way it does when the backend server's process ends. With Completed: that was the
     * only end of the answer, so the server may have crashed. */
    bool connectionLost = false;
    /** What the answer's head states about the backend server; nullopt: no head was received. */
    std::optional<routing::Announcement> announcement = std::nullopt;
    ConnectFailure connectFailure = ConnectFailure::None;
};

/** The caller disconnected, or the stream to it was cut. Nothing more is forwarded to the caller. */
struct ProxyRequestAbandoned {
    CallId call;
    /** Events forwarded to the caller in total. */
    std::uint64_t events = 0;
};

/** Action: send the request to a backend server and forward its answer to the caller. */
struct ProxyDispatch {
    CallId call;
    AttemptId attempt;
    /** The backend server to send to; if another server has its address now, the attempt ends as Misdirected. */
    BackendId backend;
    BackendAddress address;
    /** Client account that the request is run for; empty: none. */
    AccountId account;
    /** 0 is the most urgent. */
    std::uint32_t urgency = 0;
    /** Time until the request's deadline. */
    Duration timeLeft {};
    fleet::AnswerKind answer = fleet::AnswerKind::Whole;
    /** The caller already has events of this answer: continue after the last of them. */
    bool resume = false;
    /** A backend server that sends nothing for this long counts as lost; nullopt: only `timeLeft` applies. */
    std::optional<Duration> silenceLimit;
    /** The peer that relays the connection; nullopt: this router connects itself. */
    std::optional<RelayRoute> relay = std::nullopt;
};

/** Action: end the call with the failure that a backend server answered with, which the transport kept. */
struct ProxyFailureReply {
    CallId call;
};

/** Action: report whether the platform's load balancer may send callers to this VM. */
struct AnnounceReadiness {
    bool ready = false;
    /** The process is about to end: each caller's connection closes after its current or next answer. */
    bool closing = false;
    /** Requests are refused from now on: idle connections close. */
    bool refusing = false;
    /** As many of the failure domain's other VMs as may be are overloaded already. */
    bool overloadLimitReached = false;

    [[nodiscard]] bool operator==(const AnnounceReadiness&) const = default;
};

/** Action: apply these limits to callers' connections from now on. */
struct SetCallerLimits {
    fleet::CallerLimits limits;
};

} // namespace swiftlift::node
