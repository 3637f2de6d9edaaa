#pragma once

#include <cstddef>
#include <cstdint>
#include <ostream>

#include "swiftlift/base/Units.h"

namespace swiftlift::ledger::internal {

/** @brief Chooses lenders in turn, with a pause after a round in which none of them lent anything useful. */
class LenderRotation {
public:
    /** @return Whether a loan may be requested now. */
    [[nodiscard]] bool isDue(Instant now) const noexcept { return now >= notBefore_; }

    /**
     * @brief Counts one more loan request.
     * @param lenders Number of lenders; at least one.
     * @return Index of the lender to send the request to.
     */
    [[nodiscard]] std::size_t nextLender(std::size_t lenders, Instant now);

    /** @brief A lender has lent enough for a waiting request. */
    void onUsefulLoan() noexcept;

    /** @brief A draw or a loan has brought tokens. */
    void onTokensReceived() noexcept;

    /** @return Whether the previous round of requests brought nothing. */
    [[nodiscard]] bool previousRoundFailed() const noexcept { return previousRoundFailed_; }

    void print(std::ostream& out) const;

private:
    Instant notBefore_ {};
    std::uint32_t position_ = 0;
    /** Loan requests since the last useful loan. */
    std::uint32_t failedAttempts_ = 0;
    /** All lenders were asked in a round, and no tokens have arrived since. */
    bool roundFailed_ = false;
    bool previousRoundFailed_ = false;
};

} // namespace swiftlift::ledger::internal
