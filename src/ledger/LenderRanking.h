#pragma once

#include <cstddef>
#include <map>
#include <ostream>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::ledger::internal {

/** @brief Orders lenders by what they can still lend, judged by their recent answers. */
class LenderRanking {
public:
    /** @brief A lender has lent all that was requested, so it can probably lend as much again. */
    void onWholeLoan(Incarnation lender, Tokens amount, Instant now);
    /** @brief A lender has denied a loan, has lent only part of it, or has not answered in time. */
    void onExhausted(Incarnation lender, Instant now);

    /** @brief A loan request has brought nothing for a waiting request. */
    void onFailure() noexcept { ++failuresInARow_; }
    /** @brief Tokens have arrived: a draw, or a loan that covers a waiting request. */
    void onTokensReceived() noexcept { failuresInARow_ = 0; }
    /**
     * @param lenders Number of lenders.
     * @return Whether as many requests as there are lenders have failed one after the other.
     */
    [[nodiscard]] bool allFailed(std::size_t lenders) const noexcept { return failuresInARow_ >= lenders; }

    /**
     * @param lenders All lenders, in order of preference.
     * @return Lenders to ask, without the exhausted ones: first those that lent whole loans, the largest loan first,
     * then those that have not answered recently.
     */
    [[nodiscard]] std::vector<Incarnation> rank(const std::vector<Incarnation>& lenders, Instant now) const;

    void print(std::ostream& out) const;

private:
    struct Answer {
        /** Estimate of what the lender can still lend. */
        Tokens left;
        Instant at {};
    };

    void record(Incarnation lender, Tokens left, Instant now);

    std::map<Incarnation, Answer> answers_;
    std::size_t failuresInARow_ = 0;
};

} // namespace swiftlift::ledger::internal
