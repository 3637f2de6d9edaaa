#include "ledger/ShortageSignals.h"

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    /** Each signal is a record that every router reads. */
    constexpr Duration pause = 1s;

} // namespace

void ShortageSignals::sent(Instant now)
{
    formerInVain_ = sentAt_ && !answered_;
    answered_ = false;
    sentAt_ = now;
    next_ = now + pause;
}

void ShortageSignals::relieved() noexcept
{
    answered_ = true;
    formerInVain_ = false;
}

bool ShortageSignals::awaited(Instant now, Duration patience) const noexcept
{
    return sentAt_ && !formerInVain_ && now - *sentAt_ < patience;
}

void ShortageSignals::print(std::ostream& out) const
{
    out << " signal " << next_.time_since_epoch().count() << '/' << (sentAt_ ? sentAt_->time_since_epoch().count() : -1)
        << (answered_ ? " answered" : "") << (formerInVain_ ? " in vain" : "");
}

} // namespace swiftlift::ledger::internal
