#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <ostream>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::ledger::internal {

/** @brief Lender to ask for a loan, with the tokens that it is known to have left. */
struct RankedLender {
    Incarnation lender;
    /** Empty when the lender has not stated recently what it has left. */
    std::optional<Tokens> left;
};

/** @brief Orders lenders by what their recent answers stated that they could still lend. */
class LenderRanking {
public:
    /** @brief A lender has answered, or has not answered in time, which counts as having nothing left. */
    void record(Incarnation lender, Tokens left, Instant now);
    /** @brief A lender has answered without stating what it has left, as routers of older versions do. */
    void forget(Incarnation lender);

    /** @brief A lender has denied a loan, or has lent too little for a waiting request. */
    void onFailure() noexcept { ++failuresInARow_; }
    /** @brief Tokens have arrived: a draw, or a loan that covers a waiting request. */
    void onTokensReceived() noexcept { failuresInARow_ = 0; }
    /**
     * @param lenders Number of lenders.
     * @return Whether as many requests as there are lenders were denied one after the other.
     */
    [[nodiscard]] bool allFailed(std::size_t lenders) const noexcept { return failuresInARow_ >= lenders; }

    /**
     * @param lenders All lenders, in order of preference.
     * @param least Smallest loan that is of use.
     * @return Lenders that may have `least` tokens: first those that stated so, the one with most first, then those
     * with unknown tokens.
     */
    [[nodiscard]] std::vector<RankedLender> rank(
        const std::vector<Incarnation>& lenders, Tokens least, Instant now) const;

    void print(std::ostream& out) const;

private:
    struct Statement {
        Tokens left;
        Instant at {};
    };

    std::map<Incarnation, Statement> statements_;
    std::size_t failuresInARow_ = 0;
};

} // namespace swiftlift::ledger::internal
