#include "swiftlift/config/SnapshotSchedule.h"

#include <cassert>

namespace swiftlift::config {

SnapshotSchedule::SnapshotSchedule(Duration interval, std::uint64_t seed)
    : interval_(interval)
    , random_(seed)
{
    assert(interval > Duration {} && "snapshots need an interval");
}

void SnapshotSchedule::onSnapshot(Instant now) { restart(now); }

bool SnapshotSchedule::due(Instant now)
{
    if (!started_) {
        restart(now);
    }
    if (now < next_) {
        return false;
    }
    restart(now);
    return true;
}

void SnapshotSchedule::restart(Instant now)
{
    const auto stagger = static_cast<std::uint64_t>(interval_.count() / 2 + 1);
    next_ = now + interval_ + Duration { static_cast<Duration::rep>(random_() % stagger) };
    started_ = true;
}

} // namespace swiftlift::config
