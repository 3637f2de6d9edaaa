#include "ledger/LenderRanking.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    /**
     * How long an answer is relied on, which is also the pause before an exhausted lender is asked again. Running
     * requests return part of what they reserved within about this time.
     */
    constexpr Duration answerLifetime = 1s;
    /** Each restart of a router adds a lender, so the number of recorded answers is bounded. */
    constexpr std::size_t maxAnswers = 1024;

} // namespace

void LenderRanking::onWholeLoan(Incarnation lender, Tokens amount, Instant now) { record(lender, amount, now); }

void LenderRanking::onExhausted(Incarnation lender, Instant now) { record(lender, Tokens {}, now); }

void LenderRanking::record(Incarnation lender, Tokens left, Instant now)
{
    if (answers_.size() >= maxAnswers)
        std::erase_if(answers_, [now](const auto& entry) { return now - entry.second.at > answerLifetime; });
    answers_.insert_or_assign(lender, Answer { left, now });
}

std::vector<Incarnation> LenderRanking::rank(const std::vector<Incarnation>& lenders, Instant now) const
{
    std::vector<std::pair<Tokens, Incarnation>> ranked;
    for (const Incarnation lender : lenders) {
        const auto found = answers_.find(lender);
        const bool isKnown = found != answers_.end() && now - found->second.at <= answerLifetime;
        const Tokens left = isKnown ? found->second.left : Tokens {};
        if (!isKnown || left > Tokens {})
            ranked.emplace_back(left, lender);
    }
    std::ranges::stable_sort(ranked, std::greater {}, [](const auto& entry) { return entry.first; });
    std::vector<Incarnation> result;
    result.reserve(ranked.size());
    for (const auto& [left, lender] : ranked)
        result.push_back(lender);
    return result;
}

void LenderRanking::print(std::ostream& out) const
{
    for (const auto& [lender, answer] : answers_)
        out << " left " << lender << ' ' << answer.left << '@' << answer.at.time_since_epoch().count();
    out << " failures " << failuresInARow_;
}

} // namespace swiftlift::ledger::internal
