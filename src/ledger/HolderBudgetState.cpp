#include "ledger/HolderBudgetState.h"

#include <algorithm>

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration sharerMemory = 300s;

} // namespace

void HolderBudgetState::saw(Incarnation holder, Instant now)
{
    sharers[holder] = now;
    std::erase_if(sharers, [&](const auto& sharer) { return now - sharer.second >= sharerMemory; });
}

std::uint32_t HolderBudgetState::sharerCount(Instant now) const
{
    const auto active
        = std::ranges::count_if(sharers, [&](const auto& sharer) { return now - sharer.second < sharerMemory; });
    return static_cast<std::uint32_t>(active) + 1;
}

void HolderBudgetState::print(std::ostream& out) const
{
    const auto at = [](Instant instant) { return instant.time_since_epoch().count(); };
    demand.print(out);
    billed.print(out);
    wants.print(out);
    out << "drawing " << (drawing ? drawing->number : 0) << ' ' << drawingWanted << '@' << at(drawingSince) << " drawn "
        << drawn << " returned " << (returnedAt ? at(*returnedAt) : -1) << " cautious " << at(cautiousUntil)
        << " others " << othersShort << '@' << at(othersShortUntil) << " stocked " << preallocated;
    signals.print(out);
    rounds.print(out);
    for (const auto& [sharer, seen] : sharers)
        out << " sharer " << sharer << '@' << at(seen);
    out << '\n';
}

} // namespace swiftlift::ledger::internal
