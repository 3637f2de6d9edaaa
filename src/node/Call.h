#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "node/BackendLinks.h"
#include "node/Services.h"
#include "swiftlift/ledger/Holder.h"
#include "swiftlift/node/Event.h"
#include "swiftlift/settings/ServiceDocument.h"

namespace swiftlift::node {

enum class CallPhase : std::uint8_t {
    WaitingForTokens,
    WaitingForClaim,
    WaitingForBackend,
    Running,
    /** The answer is complete and billed; the caller gets the final answer once the bill can survive this process. */
    SecuringBill,
};

/** One caller's request in progress at this router. */
struct Call {
    CallId id;
    CallerRequest request;
    ServiceDocumentPtr service;
    settings::AccountUse accountUse;
    CallPhase phase = CallPhase::WaitingForTokens;
    Instant arrived {};
    Instant deadline {};
    /** When the current phase began. */
    Instant phaseStart {};
    /** Maximum tokens that the request can be billed. */
    Tokens maxCost;
    std::optional<ledger::Reservation> reservation;
    /** Set while Running. */
    AttemptId attempt;
    BackendId backend;
    /** Failure domain of `backend`. */
    FailureDomain domain;
    LinkHistory links;
    std::uint32_t attemptsMade = 0;
    /** Attempts that broke off and may have run the request. */
    std::uint32_t attemptsBroken = 0;
    /** Backend servers that must not get the request again. */
    std::set<BackendId> excluded;
    /** Tokens forwarded to the caller. */
    Tokens delivered;
    /** When the first token was forwarded. */
    std::optional<Instant> firstTokenAt;
    /** Set while SecuringBill: the bill's number among this router's ledger items, and the billed grant. 0: no bill. */
    std::uint64_t billSequence = 0;
    GrantId billedGrant;
    /** Only this router can close the grant. Read before billing, as the router may not hold the grant afterwards. */
    bool isHolderOnly = false;
    Tokens billed;

    [[nodiscard]] LinkAttempt linkAttempt() const { return { backend, domain, request.id.value() }; }
    [[nodiscard]] bool isModel() const noexcept { return service->kind == settings::BackendKind::Model; }
};

/** Why a request is refused, and after what time the caller may retry. */
struct Refusal {
    int status = 503;
    std::string reason;
    std::string detail;
    std::optional<Duration> retryAfter;
};

} // namespace swiftlift::node
