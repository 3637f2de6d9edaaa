#include "ledger/HolderDesk.h"

namespace swiftlift::ledger::internal {

void HolderDesk::print(std::ostream& out) const
{
    const auto at = [](Instant instant) { return instant.time_since_epoch().count(); };
    demand.print(out);
    wants.print(out);
    out << "drawing " << (drawing ? drawing->number : 0) << ' ' << drawingWanted << '@' << at(drawingSince) << " drawn "
        << drawn << " returned " << (returnedAt ? at(*returnedAt) : -1) << " cautious " << at(cautiousUntil)
        << " others " << othersShort << '@' << at(othersShortUntil) << " signal " << at(nextSignal) << " loans "
        << loanAttempts << '@' << at(nextLoanRound);
    for (const auto& [sharer, seen] : sharers)
        out << " sharer " << sharer << '@' << at(seen);
    out << '\n';
}

} // namespace swiftlift::ledger::internal
