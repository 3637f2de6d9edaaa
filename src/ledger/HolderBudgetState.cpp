#include "ledger/HolderBudgetState.h"

#include <algorithm>

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    /** How long after its last draw another holder counts as sharing the budget. */
    constexpr Duration sharerActivityWindow = 300s;

} // namespace

void HolderBudgetState::recordSharer(Incarnation holder, Instant now)
{
    sharers[holder] = now;
    std::erase_if(sharers, [&](const auto& sharer) { return now - sharer.second >= sharerActivityWindow; });
}

std::uint32_t HolderBudgetState::sharerCount(Instant now) const
{
    const auto active = std::ranges::count_if(
        sharers, [&](const auto& sharer) { return now - sharer.second < sharerActivityWindow; });
    return static_cast<std::uint32_t>(active) + 1;
}

void HolderBudgetState::print(std::ostream& out) const
{
    const auto at = [](Instant instant) { return instant.time_since_epoch().count(); };
    demand.print(out);
    billed.print(out);
    waitingRequests.print(out);
    out << "drawing " << (pendingDraw ? pendingDraw->number : 0) << ' ' << pendingDrawAmount << '@'
        << at(pendingDrawSince) << " drawn " << drawn << " returned " << (lastReturnAt ? at(*lastReturnAt) : -1)
        << " cautious " << at(drawOnlyForWaitingUntil) << " others " << othersShortfall << '@'
        << at(othersShortfallUntil) << " stocked " << preallocated;
    if (heldAtStart)
        out << " beside " << *heldAtStart;
    shortageSignals.print(out);
    lenderRotation.print(out);
    lenderRanking.print(out);
    for (const auto& [sharer, seenAt] : sharers)
        out << " sharer " << sharer << '@' << at(seenAt);
    out << '\n';
}

} // namespace swiftlift::ledger::internal
