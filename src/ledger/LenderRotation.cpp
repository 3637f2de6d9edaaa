#include "ledger/LenderRotation.h"

#include <cassert>

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    /** Before lenders that all had nothing are asked again. */
    constexpr Duration pause = 1s;

} // namespace

// What goes wrong when the nearest is always asked first: a VM that gets most of an account's requests empties its
// neighbours by halves and is refused, while those farther away hold what nobody asks them for.
std::size_t LenderRotation::ask(std::size_t lenders, Instant now)
{
    assert(lenders > 0 && "somebody is there to be asked");
    const std::size_t lender = position_++ % lenders;
    if (asksInVain_ == 0)
        formerInVain_ = over_;
    if (++asksInVain_ >= lenders) {
        asksInVain_ = 0;
        over_ = true;
        next_ = now + pause;
    }
    return lender;
}

void LenderRotation::lent() noexcept
{
    asksInVain_ = 0;
    relieved();
}

void LenderRotation::relieved() noexcept
{
    over_ = false;
    formerInVain_ = false;
}

void LenderRotation::print(std::ostream& out) const
{
    out << (over_ ? " round over" : "") << (formerInVain_ ? " lent in vain" : "") << " loans " << position_ << ' '
        << asksInVain_ << '@' << next_.time_since_epoch().count();
}

} // namespace swiftlift::ledger::internal
