#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "node/Services.h"
#include "swiftlift/ledger/Holder.h"
#include "swiftlift/node/Event.h"
#include "swiftlift/settings/ServiceDocument.h"

namespace swiftlift::node {

enum class Phase : std::uint8_t {
    WaitingForMoney,
    WaitingForClaim,
    WaitingForBackend,
    Running,
    /** The answer is whole and billed; the bill has to outlive this process before the caller is told. */
    SecuringBill,
};

/** One caller's request in progress at this router. */
struct Call {
    CallId id;
    CallerRequest request;
    ServiceDocumentPtr service;
    settings::AccountUse use;
    Phase phase = Phase::WaitingForMoney;
    Instant arrived {};
    Instant deadline {};
    /** When the present phase began. */
    Instant since {};
    /** Most that the request can cost. */
    Tokens cost;
    std::optional<ledger::Reservation> reservation;
    /** Set while Running. */
    AttemptId attempt;
    BackendId backend;
    std::uint32_t attemptsMade = 0;
    /** Of these, how many may have been started. */
    std::uint32_t attemptsBroken = 0;
    std::set<BackendId> excluded;
    /** Tokens that the caller has been passed on. */
    Tokens delivered;
    std::optional<Instant> firstToken;
    /** While SecuringBill: what is to be secured, and the bill. */
    std::uint64_t billSequence = 0;
    GrantId billedGrant;
    /** Nobody else can close the grant; asked before the bill, as the holding may be over after it. */
    bool isHolderOnly = false;
    Tokens billed;

    [[nodiscard]] bool isModel() const noexcept { return service->kind == settings::BackendKind::Model; }
};

/** Why a request is given up, and when asking again is worth it. */
struct GivingUp {
    int status = 503;
    std::string reason;
    std::string detail;
    std::optional<Duration> retryAfter;
};

} // namespace swiftlift::node
