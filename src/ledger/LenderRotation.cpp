#include "ledger/LenderRotation.h"

#include <cassert>

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    /** Pause after a round in which no lender had anything to lend. */
    constexpr Duration roundPause = 1s;

} // namespace

// Goes through all lenders in turn. If the nearest were always asked first, a VM that gets most of an account's
// requests would halve what its neighbours hold again and again and refuse requests, while VMs farther away hold unused
// tokens.
std::size_t LenderRotation::nextLender(std::size_t lenders, Instant now)
{
    assert(lenders > 0 && "there is at least one lender to be asked");
    const std::size_t lender = position_++ % lenders;
    if (failedAttempts_ == 0)
        previousRoundFailed_ = roundFailed_;
    if (++failedAttempts_ >= lenders) {
        failedAttempts_ = 0;
        roundFailed_ = true;
        notBefore_ = now + roundPause;
    }
    return lender;
}

void LenderRotation::onUsefulLoan() noexcept
{
    failedAttempts_ = 0;
    onTokensReceived();
}

void LenderRotation::onTokensReceived() noexcept
{
    roundFailed_ = false;
    previousRoundFailed_ = false;
}

void LenderRotation::print(std::ostream& out) const
{
    out << (roundFailed_ ? " round over" : "") << (previousRoundFailed_ ? " lent in vain" : "") << " loans "
        << position_ << ' ' << failedAttempts_ << '@' << notBefore_.time_since_epoch().count();
}

} // namespace swiftlift::ledger::internal
