#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <ostream>
#include <utility>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::ledger::internal {

/** What a lender answered to one ask. */
struct LoanAnswer {
    GrantId grant;
    /** Zero: denied. */
    Tokens amount;
    /** Of a denied one: what could have been had. */
    Tokens free;
    bool done = false;
    /** Of a given one: nobody but this holder can close the grant. */
    bool holderOnly = false;
};

/**
 * @brief What a lender answered to whom, so that a repeat gets the same answer (H11 of docs/HOLDINGS.md).
 *
 * Finished loans are forgotten in the order of their numbers; a number below the forgotten ones counts as finished. Of
 * many borrowers, one without open loans is forgotten: a late ask of it is answered anew, and it says LoanDone.
 */
class LoanAnswerHistory {
public:
    /** @return The answer given before; nothing when this is the first ask. */
    [[nodiscard]] std::optional<LoanAnswer> find(Incarnation borrower, std::uint64_t loan) const;
    void record(Incarnation borrower, std::uint64_t loan, LoanAnswer answer);

    void print(std::ostream& out) const;

private:
    struct Borrower {
        std::map<std::uint64_t, LoanAnswer> answers;
        /** Numbers below this one that are not in `answers` are finished. */
        std::uint64_t forgottenBelow = 0;
    };

    void forget(Borrower& borrower);
    void forgetBorrower(Incarnation except);

    std::map<Incarnation, Borrower> borrowers_;
};

} // namespace swiftlift::ledger::internal
