#include "ledger/LenderRanking.h"

#include <algorithm>

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    /**
     * How long a lender's statement is relied on, which is also the pause before a lender without tokens is asked
     * again: running requests return part of what they reserved within about a second.
     */
    constexpr Duration statementLifetime = 1s;
    /** Each restart of a router adds a lender, so the number of statements is bounded. */
    constexpr std::size_t maxStatements = 1024;

} // namespace

void LenderRanking::record(Incarnation lender, Tokens left, Instant now)
{
    if (statements_.size() >= maxStatements)
        std::erase_if(statements_, [&](const auto& entry) { return now - entry.second.at > statementLifetime; });
    statements_.insert_or_assign(lender, Statement { left, now });
}

void LenderRanking::forget(Incarnation lender) { statements_.erase(lender); }

std::vector<RankedLender> LenderRanking::rank(
    const std::vector<Incarnation>& lenders, Tokens least, Instant now) const
{
    std::vector<RankedLender> ranked;
    for (const Incarnation lender : lenders) {
        const auto found = statements_.find(lender);
        if (found == statements_.end() || now - found->second.at > statementLifetime)
            ranked.push_back({ lender, std::nullopt });
        else if (found->second.left >= least)
            ranked.push_back({ lender, found->second.left });
    }
    // An empty optional is less than any number of tokens.
    std::ranges::stable_sort(ranked, std::greater {}, &RankedLender::left);
    return ranked;
}

void LenderRanking::print(std::ostream& out) const
{
    for (const auto& [lender, statement] : statements_)
        out << " left " << lender << ' ' << statement.left << '@' << statement.at.time_since_epoch().count();
    out << " denials " << failuresInARow_;
}

} // namespace swiftlift::ledger::internal
