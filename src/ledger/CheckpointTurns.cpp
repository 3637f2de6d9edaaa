#include "swiftlift/ledger/CheckpointTurns.h"

namespace swiftlift::ledger {

CheckpointTurns::CheckpointTurns(Duration interval, std::uint64_t seed)
    : interval_(interval)
    , random_(seed)
{
}

bool CheckpointTurns::due(Instant now, std::uint32_t routers)
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

Instant CheckpointTurns::draw(Instant now, Duration longest)
{
    std::uniform_int_distribution<Duration::rep> turn(0, longest.count());
    return now + Duration { turn(random_) };
}

} // namespace swiftlift::ledger
