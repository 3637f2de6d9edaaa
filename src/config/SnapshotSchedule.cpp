#include "swiftlift/config/SnapshotSchedule.h"

#include <cassert>

namespace swiftlift::config {

SnapshotSchedule::SnapshotSchedule(Duration interval, std::uint64_t seed)
    : interval_(interval)
    , random_(seed)
{
    assert(interval > Duration {} && "the snapshot interval must be positive");
}

void SnapshotSchedule::onSnapshot(Instant now) { restartWait(now); }

bool SnapshotSchedule::due(Instant now)
{
    if (!started_) {
        restartWait(now);
    }
    if (now < nextDue_) {
        return false;
    }
    restartWait(now);
    return true;
}

void SnapshotSchedule::restartWait(Instant now)
{
    const auto staggerRange = static_cast<std::uint64_t>(interval_.count() / 2 + 1);
    nextDue_ = now + interval_ + Duration { static_cast<Duration::rep>(random_() % staggerRange) };
    started_ = true;
}

} // namespace swiftlift::config
