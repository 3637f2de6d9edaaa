#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "node/BackendLinks.h"
#include "node/EventPace.h"
#include "node/FleetDirectory.h"
#include "swiftlift/ledger/Fold.h"
#include "swiftlift/ledger/Holder.h"
#include "swiftlift/node/ProxyRequest.h"
#include "swiftlift/quarantine/Report.h"
#include "swiftlift/request/Outcome.h"
#include "swiftlift/routing/Selector.h"

namespace swiftlift::node {

enum class ProxyPhase : std::uint8_t { WaitingForVersion, WaitingForTokens, WaitingForBackend, Running };

/** One proxied request in progress at this router. */
struct ProxyRequest {
    CallId id;
    ProxyRequestInfo info;
    /** The configuration in force when the request arrived; it applies to the request until its end. */
    RouteTablePtr table;
    const fleet::Route* route = nullptr;
    const fleet::Service* service = nullptr;
    /** Client account of the caller's key; null: the route is open, or the configuration requires no keys. */
    const fleet::Account* account = nullptr;
    std::uint32_t urgency = 0;
    ProxyPhase phase = ProxyPhase::WaitingForTokens;
    /** What the running attempt was expected to cost; nullopt: not known, or nothing is running. */
    std::optional<routing::ExpectedCost> expected;
    /** When the first event was forwarded to the caller. */
    std::optional<Instant> firstEventAt;
    Instant arrivedAt {};
    /** End of the caller's or the route's time limit, whichever is earlier. */
    Instant deadline {};
    /** When the current phase began. */
    Instant phaseStart {};
    /** Maximum tokens that the request can be billed; 0: not billed. */
    Tokens maxCost;
    std::optional<ledger::Reservation> reservation;
    /** Set while Running. */
    AttemptId attempt;
    BackendId backend;
    /** Start time that the backend server registered; with `backend` it identifies the instance. */
    std::uint64_t backendStartedAt = 0;
    /** Software version of `backend`. */
    SoftwareVersion backendVersion;
    /** Version at which the stream began, and may go on; nullopt: it has not begun. */
    std::optional<SoftwareVersion> streamVersion;
    /** A router remembered the stream that this request takes up. */
    bool streamRemembered = false;
    /** Failure domain of `backend`. */
    FailureDomain domain;
    LinkHistory links;
    /** Number of attempts. */
    std::uint32_t dispatches = 0;
    /** Number of attempts that may have reached a backend server. */
    std::uint32_t arrivals = 0;
    /** Number of attempts that may have run the request. */
    std::uint32_t possibleRuns = 0;
    /** Backend servers that must not get the request again. */
    std::set<BackendId> excluded;
    /** One retry of this router's share is reserved for the next attempt. */
    bool retryReserved = false;
    /** The running attempt was counted as a retry. */
    bool countedAsRetry = false;
    /** Events forwarded to the caller. */
    std::uint64_t events = 0;
    /** Time between the events of the running attempt. */
    EventPace pace;
    /** Parts that its prompt may share with other requests. */
    std::vector<quarantine::PromptPart> sharedParts;
    /** The running attempt has shown that these parts crash no server. */
    bool partsAnswered = false;
    /** The transport keeps a failure answer of a backend server, which can be forwarded to the caller. */
    bool failureKept = false;

    [[nodiscard]] AccountId accountId() const { return account == nullptr ? AccountId {} : account->id; }
    /** @return Identifies repetitions of the request; nullopt: the content's digest is not known. */
    [[nodiscard]] std::optional<quarantine::Fingerprint> fingerprint() const
    {
        return info.content ? std::optional(quarantine::Fingerprint { accountId(), *info.content }) : std::nullopt;
    }
    /** @return Maximum memory that it takes at an engine. */
    [[nodiscard]] Tokens memory() const { return info.promptTokens + info.maxAnswerTokens; }
    [[nodiscard]] LinkAttempt linkAttempt() const { return { backend, domain, info.id }; }
    [[nodiscard]] quarantine::BackendInstance backendInstance() const { return { backend, backendStartedAt }; }
    /** @return Whether a backend server may run the request although another one may already have run it. */
    [[nodiscard]] bool mayRunAgain() const
    {
        return events == 0 ? route->idempotent || route->resumable : route->resumable;
    }
};

/** @return The ids of a prompt's parts, in order, for log lines; of a long prefix only the first ones. */
[[nodiscard]] std::string prefixText(const std::vector<PrefixPart>& parts);

/** A budget's figures when a request was refused for lack of tokens, as far as this router knew them. */
struct KnownBudget {
    ledger::BudgetView figures;
    /** Offset up to which the ledger's stream had been read. */
    Offset readTo;
    /** The log was reachable, directly or through a peer, so the figures were current. */
    bool logInReach = false;
};

/** Why a request ends without an answer, and after what time the caller may retry. */
struct ProxyRefusal {
    int status = 503;
    std::string reason;
    std::string detail;
    std::optional<Duration> retryAfter;
    std::optional<KnownBudget> budget = std::nullopt;
};

} // namespace swiftlift::node
