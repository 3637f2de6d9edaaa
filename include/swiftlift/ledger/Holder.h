#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/ledger/Entry.h"
#include "swiftlift/ledger/Fold.h"

namespace swiftlift::ledger {

/** Part of a grant set aside for one request. */
struct Reservation {
    RequestKey key;
    BudgetRef budget;
    /** The grant that a bill will name: the holder's own, or the lender's. */
    GrantId grant;
    Tokens amount;
};

enum class ShortReason : std::uint8_t {
    /** The ledger, as far as it is read here, has not the money. */
    BudgetExhausted,
    /** The money is there, but it can't be had here now: a draw, a ceiling or a loan is under way or unreachable. */
    BudgetElsewhere,
};

struct Shortage {
    ShortReason reason = ShortReason::BudgetElsewhere;
    /** When asking again is worth it. */
    Duration retryAfter {};
    /** True while a draw, raise or loan is under way that may still cover the request. */
    bool pending = false;
};

/** What the policy is told of the world, each tick. */
struct Surroundings {
    bool logReachable = false;
    bool stopping = false;
    /** Incarnation to name as witness, when there is one. */
    std::optional<Incarnation> witness;
    /** Peers to ask for loans, best first. */
    std::vector<Incarnation> lenders;
};

// Actions of holder and witness.
struct AppendEntry {
    Entry entry;
};
struct Ceiling {
    GrantId grant;
    Tokens ceiling;

    [[nodiscard]] bool operator==(const Ceiling&) const = default;
};
struct SendRaise {
    Incarnation to;
    std::vector<Ceiling> ceilings;
};
struct SendCeilingsAcked {
    Incarnation to;
    std::vector<Ceiling> ceilings;
};
struct SendCeilingsRefused {
    Incarnation to;
    std::vector<GrantId> grants;
};
struct SendLoanAsk {
    Incarnation to;
    std::uint64_t loan = 0;
    BudgetRef budget;
    Tokens amount;
};
struct SendLoanGiven {
    Incarnation to;
    std::uint64_t loan = 0;
    BudgetRef budget;
    GrantId grant;
    Tokens amount;
};
struct SendLoanDenied {
    Incarnation to;
    std::uint64_t loan = 0;
    BudgetRef budget;
    Tokens free;
};
struct SendLoanDone {
    Incarnation to;
    std::uint64_t loan = 0;
    Tokens billed;
};
struct SendLoanDoneAcked {
    Incarnation to;
    std::uint64_t loan = 0;
};
/** More money can be reserved from this budget than before: waiting requests may be tried again. */
struct MoneyArrived {
    BudgetRef budget;
};
/** The ledger has retired this incarnation, or a prefix has a hole: the process has to go on under a new one. */
struct Retired {
    std::string reason;
};

using MoneyAction = std::variant<AppendEntry, SendRaise, SendCeilingsAcked, SendCeilingsRefused, SendLoanAsk,
    SendLoanGiven, SendLoanDenied, SendLoanDone, SendLoanDoneAcked, MoneyArrived, Retired>;
using MoneyActions = std::vector<MoneyAction>;

} // namespace swiftlift::ledger
