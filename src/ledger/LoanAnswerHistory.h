#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <ostream>
#include <utility>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::ledger::internal {

/** @brief A lender's answer to one loan request. */
struct LoanAnswer {
    GrantId grant;
    /** Tokens lent; zero when the loan was denied. */
    Tokens amount;
    /** Tokens that could still be lent. */
    Tokens free;
    /** Whether the borrower has reported the loan as done. */
    bool done = false;
    /** Whether the lent grant is holder-only. */
    bool holderOnly = false;
};

/**
 * @brief A lender's answers by borrower and loan, so that a repeated request gets the same answer (H11 in
 * docs/HOLDINGS.md).
 *
 * Bounded: finished loans are dropped in the order of their numbers, and a dropped number counts as finished. When
 * there are too many borrowers, one without open loans is dropped; a late request of such a borrower is answered like a
 * new one, and the borrower then ends that loan with LoanDone.
 */
class LoanAnswerHistory {
public:
    /** @return The recorded answer; nothing when the loan was not requested before. */
    [[nodiscard]] std::optional<LoanAnswer> find(Incarnation borrower, std::uint64_t loan) const;
    void record(Incarnation borrower, std::uint64_t loan, LoanAnswer answer);

    void print(std::ostream& out) const;

private:
    struct Borrower {
        std::map<std::uint64_t, LoanAnswer> answers;
        /** Loans with smaller numbers that are not in `answers` are finished. */
        std::uint64_t finishedBelow = 0;
    };

    /** @brief Drops finished loans above the limit per borrower. */
    void pruneAnswers(Borrower& borrower);
    /** @brief Drops one borrower without open loans, other than `except`. */
    void pruneBorrowers(Incarnation except);

    std::map<Incarnation, Borrower> borrowers_;
};

} // namespace swiftlift::ledger::internal
