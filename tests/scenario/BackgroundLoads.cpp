#include "BackgroundLoads.h"

#include "Errors.h"

namespace swiftlift::scenario {

std::size_t BackgroundLoads::start(LoadPlan plan, Callers& callers)
{
    Entry& entry = entries_.emplace_back();
    entry.plan = std::move(plan);
    entry.startedAt = Clock::now();
    entry.end = std::async(std::launch::async, [&entry, &callers] { return runLoad(entry.plan, callers); });
    return entries_.size() - 1;
}

LoadCounts BackgroundLoads::wait(std::size_t handle) { return entry(handle).end.get(); }

const BackgroundLoads::Entry& BackgroundLoads::entry(std::size_t handle) const
{
    if (handle >= entries_.size())
        throw BrokenScript("no such load");
    return entries_[handle];
}

} // namespace swiftlift::scenario
