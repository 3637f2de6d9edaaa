#include "ledger/ShortageSignals.h"

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    /** Shortest time between two signals, since each one is a record that every router reads. */
    constexpr Duration signalPause = 1s;

} // namespace

void ShortageSignals::onSent(Instant now)
{
    previousUnanswered_ = sentAt_ && !answered_;
    answered_ = false;
    sentAt_ = now;
    notBefore_ = now + signalPause;
}

void ShortageSignals::onTokensReceived() noexcept
{
    answered_ = true;
    previousUnanswered_ = false;
}

bool ShortageSignals::isAnswerPending(Instant now, Duration maxWait) const noexcept
{
    return sentAt_ && !previousUnanswered_ && now - *sentAt_ < maxWait;
}

void ShortageSignals::print(std::ostream& out) const
{
    out << " signal " << notBefore_.time_since_epoch().count() << '/'
        << (sentAt_ ? sentAt_->time_since_epoch().count() : -1) << (answered_ ? " answered" : "")
        << (previousUnanswered_ ? " in vain" : "");
}

} // namespace swiftlift::ledger::internal
