#include "swiftlift/ledger/CheckpointSchedule.h"

namespace swiftlift::ledger {

CheckpointSchedule::CheckpointSchedule(Duration interval, std::uint64_t seed)
    : interval_(interval)
    , random_(seed)
{
}

bool CheckpointSchedule::due(Instant now, std::uint32_t routers)
{
    if (!nextDue_) {
        nextDue_ = drawDueTime(now, interval_ * routers);
    }
    if (now < *nextDue_) {
        return false;
    }
    nextDue_ = drawDueTime(now, 2 * interval_ * routers);
    return true;
}

Instant CheckpointSchedule::drawDueTime(Instant now, Duration maxDelay)
{
    std::uniform_int_distribution<Duration::rep> delay(0, maxDelay.count());
    return now + Duration { delay(random_) };
}

} // namespace swiftlift::ledger
