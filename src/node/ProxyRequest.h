#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "node/FleetDirectory.h"
#include "swiftlift/ledger/Fold.h"
#include "swiftlift/ledger/Holder.h"
#include "swiftlift/node/ProxyRequest.h"
#include "swiftlift/quarantine/Report.h"
#include "swiftlift/request/Outcome.h"

namespace swiftlift::node {

enum class ProxyPhase : std::uint8_t { WaitingForMoney, WaitingForBackend, Running };

/** One request that is passed on as it came, in progress at this router. */
struct ProxyRequest {
    CallId id;
    ProxyRequestInfo facts;
    /** The configuration it came under stays its own, whatever comes into force meanwhile. */
    RouteTablePtr table;
    const fleet::Route* route = nullptr;
    const fleet::Service* service = nullptr;
    /** Nobody's: the route is open. */
    const fleet::Account* account = nullptr;
    std::uint32_t urgency = 0;
    ProxyPhase phase = ProxyPhase::WaitingForMoney;
    /** When its first event was passed on. */
    std::optional<Instant> firstEventAt;
    Instant arrived {};
    /** The caller's own or that of the route, whichever comes first. */
    Instant deadline {};
    /** When the present phase began. */
    Instant since {};
    /** Most tokens that it can cost. */
    Tokens cost;
    std::optional<ledger::Reservation> reservation;
    /** Set while Running. */
    AttemptId attempt;
    BackendId backend;
    /** Which life of it, as it registered. */
    std::uint64_t backendStartedAt = 0;
    /** Where that one stands. */
    FailureDomain domain;
    /** Backend servers it was sent to. */
    std::uint32_t offers = 0;
    /** Of these, how many may have run it. */
    std::uint32_t runs = 0;
    std::set<BackendId> excluded;
    /** Events that the caller has been given. */
    std::uint64_t events = 0;
    /** The transport keeps a failure that a backend server answered with. */
    bool failureKept = false;

    [[nodiscard]] AccountId accountId() const { return account == nullptr ? AccountId {} : account->id; }
    /** @return The request as it is recognised when it comes again; nothing: it can't be. */
    [[nodiscard]] std::optional<quarantine::Fingerprint> fingerprint() const
    {
        return facts.content ? std::optional(quarantine::Fingerprint { accountId(), *facts.content }) : std::nullopt;
    }
    [[nodiscard]] quarantine::BackendInstance backendInstance() const { return { backend, backendStartedAt }; }
    /** @return Whether another backend server may run it, though one may have run it already. */
    [[nodiscard]] bool mayRunAgain() const
    {
        return events == 0 ? route->idempotent || route->resumable : route->resumable;
    }
};

/** What was known of a budget when a request was refused for it. */
struct KnownBudget {
    ledger::BudgetView figures;
    /** The ledger's stream had been read up to here. */
    Offset readTo;
    /** The log was reached, by this router itself or through a peer: the figures are of this moment. */
    bool logInReach = false;
};

/** Why a passage ends without an answer, and when asking again is worth it. */
struct ProxyRefusal {
    int status = 503;
    std::string reason;
    std::string detail;
    std::optional<Duration> retryAfter;
    std::optional<KnownBudget> budget = std::nullopt;
};

} // namespace swiftlift::node
