#pragma once

#include <cstddef>
#include <cstdint>
#include <ostream>

#include "swiftlift/base/Units.h"

namespace swiftlift::ledger::internal {

/** @brief Whom a borrower asks next: all lenders in turn, with a pause after a round that brought nothing. */
class LenderRotation {
public:
    /** @return Whether the next lender may be asked now. */
    [[nodiscard]] bool due(Instant now) const noexcept { return now >= next_; }

    /**
     * @param lenders How many there are; at least one.
     * @return Index of the lender that is asked now.
     */
    [[nodiscard]] std::size_t ask(std::size_t lenders, Instant now);

    /** A loan came that fits a request. */
    void lent() noexcept;

    /** Money came, be it by a draw or a loan. */
    void relieved() noexcept;

    /** @return Whether the round before the present one brought nothing. */
    [[nodiscard]] bool formerInVain() const noexcept { return formerInVain_; }

    void print(std::ostream& out) const;

private:
    Instant next_ {};
    std::uint32_t position_ = 0;
    /** Asks since the last loan of use. */
    std::uint32_t asksInVain_ = 0;
    /** All lenders were asked, and no money came since. */
    bool over_ = false;
    bool formerInVain_ = false;
};

} // namespace swiftlift::ledger::internal
