#include "swiftlift/ledger/CheckpointSchedule.h"

namespace swiftlift::ledger {

CheckpointSchedule::CheckpointSchedule(Duration interval, std::uint64_t seed)
    : interval_(interval)
    , random_(seed)
{
}

bool CheckpointSchedule::due(Instant now, std::uint32_t routers)
{
    if (!next_) {
        next_ = draw(now, interval_ * routers);
    }
    if (now < *next_) {
        return false;
    }
    next_ = draw(now, 2 * interval_ * routers);
    return true;
}

Instant CheckpointSchedule::draw(Instant now, Duration longest)
{
    std::uniform_int_distribution<Duration::rep> turn(0, longest.count());
    return now + Duration { turn(random_) };
}

} // namespace swiftlift::ledger
