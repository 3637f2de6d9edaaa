#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/fleet/FleetConfig.h"

namespace swiftlift::node {

// Requests that are passed on as they came. The transport keeps their bytes; the core decides on these facts.

/** A part of a prompt that other prompts may begin with as well, if all parts before it are the same too. */
struct PrefixPart {
    std::uint64_t hash = 0;
    Tokens tokens;
};

/** What routing and money have to know of a request. */
struct ProxyRequestInfo {
    /** The caller's id of this one attempt; another attempt has another id. */
    std::string id;
    std::string host;
    /** Without its query. */
    std::string path;
    /** The key the caller showed; empty: none. */
    std::string key;
    /** From arrival; nothing: the route's time limit alone. */
    std::optional<Duration> deadline;
    Tokens promptTokens;
    Tokens maxAnswerTokens;
    /** Of the prompt, in order; the last part is the request's own. */
    std::vector<PrefixPart> prefix;
    /** What it asks for: the same when a caller asks again. Nothing: not known. */
    std::optional<ContentDigest> content;
};

/** A caller's request has come whole. */
struct ProxyRequestArrived {
    CallId call;
    ProxyRequestInfo facts;
    /** When it had come: its caller's time runs from then on, also while it waits to be looked at. */
    Instant at {};
};

/** Events of the answer have been passed on to the caller. */
struct ProxyAttemptProgress {
    AttemptId attempt;
    std::uint64_t events = 0;
};

/** How an attempt to have a request run by a backend server ended. */
enum class ProxyAttemptEnd : std::uint8_t {
    /** The whole answer has been written to the caller. */
    Completed,
    /** The backend server could not be reached: nothing was sent. */
    Unreachable,
    /** The backend server says that it did not start it. */
    Refused,
    /** Another backend server has the address now; it did not start it. */
    Misdirected,
    /** The backend server answered with a failure, which is kept. */
    Failed,
    /** It may have run: the connection broke, the answer was no answer, or it fell silent. */
    Broken,
};

struct ProxyAttemptEnded {
    AttemptId attempt;
    ProxyAttemptEnd end = ProxyAttemptEnd::Broken;
    /** Of the answer; 0 when there was none. */
    int status = 0;
    /** Events of the answer that the caller has been given, those of earlier attempts included. */
    std::uint64_t events = 0;
    /** For logs. */
    std::string detail;
    /** Of Broken: the connection ended as it does when its backend server ends. */
    bool connectionLost = false;
};

/** The caller's connection is gone: it has left, or its stream was cut. Nothing is passed on to it any more. */
struct ProxyRequestAbandoned {
    CallId call;
    /** Events that it has been given. */
    std::uint64_t events = 0;
};

/** Have the request run by a backend server, and pass its answer on. */
struct ProxyDispatch {
    CallId call;
    AttemptId attempt;
    /** The life of the server that is meant. */
    BackendId backend;
    BackendAddress address;
    /** Whom it is run for; empty: for nobody in particular. */
    AccountId account;
    /** 0 is the most urgent. */
    std::uint32_t urgency = 0;
    /** How long the backend server may work on it. */
    Duration timeLeft {};
    fleet::AnswerKind answer = fleet::AnswerKind::Whole;
    /** The caller has events of it already: go on after the last one. */
    bool resume = false;
    /** A backend server that is silent for this long counts as lost; nothing: only the time left counts. */
    std::optional<Duration> silenceLimit;
};

/** The final word to a caller is the failure that its backend server answered with. */
struct ProxyFailureReply {
    CallId call;
};

/** Whether the platform's entry may send this VM callers. */
struct AnnounceReadiness {
    bool ready = false;
    /** The process is about to end: callers' connections close after their present answers. */
    bool closing = false;
};

/** Bounds of callers' connections, from now on. */
struct SetCallerLimits {
    fleet::CallerLimits limits;
};

} // namespace swiftlift::node
