#include "ledger/LoanAnswerHistory.h"

#include <algorithm>
#include <cstddef>

namespace swiftlift::ledger::internal {

namespace {

    constexpr std::size_t maxAnswersPerBorrower = 256;
    constexpr std::size_t maxBorrowers = 1024;

    bool isOpen(const LoanAnswer& answer) { return answer.amount > Tokens {} && !answer.done; }

} // namespace

std::optional<LoanAnswer> LoanAnswerHistory::find(Incarnation borrower, std::uint64_t loan) const
{
    const auto history = borrowers_.find(borrower);
    if (history == borrowers_.end())
        return {};
    if (const auto answer = history->second.answers.find(loan); answer != history->second.answers.end())
        return answer->second;
    if (loan < history->second.finishedBelow)
        return LoanAnswer { {}, {}, {}, true };
    return {};
}

void LoanAnswerHistory::record(Incarnation borrower, std::uint64_t loan, LoanAnswer answer)
{
    Borrower& history = borrowers_[borrower];
    history.answers.insert_or_assign(loan, answer);
    pruneAnswers(history);
    if (borrowers_.size() > maxBorrowers)
        pruneBorrowers(borrower);
}

// Each restart of a router adds a borrower, so the number of borrowers has to be bounded.
void LoanAnswerHistory::pruneBorrowers(Incarnation except)
{
    const auto finished = std::ranges::find_if(borrowers_, [&](const auto& history) {
        return history.first != except
            && std::ranges::none_of(history.second.answers, [](const auto& entry) { return isOpen(entry.second); });
    });
    if (finished != borrowers_.end())
        borrowers_.erase(finished);
}

// Bounds the memory that a long-running borrower takes. A loan request that arrives after the borrower's next 256 ones
// is denied, which costs the borrower one more request.
void LoanAnswerHistory::pruneAnswers(Borrower& borrower)
{
    while (borrower.answers.size() > maxAnswersPerBorrower) {
        const auto oldest
            = std::ranges::find_if(borrower.answers, [](const auto& entry) { return !isOpen(entry.second); });
        if (oldest == borrower.answers.end())
            return;
        borrower.finishedBelow = std::max(borrower.finishedBelow, oldest->first + 1);
        borrower.answers.erase(oldest);
    }
}

void LoanAnswerHistory::print(std::ostream& out) const
{
    for (const auto& [borrower, history] : borrowers_) {
        out << "asked by " << borrower << " forgotten " << history.finishedBelow;
        for (const auto& [loan, answer] : history.answers)
            out << ' ' << loan << ':' << answer.grant.number << ':' << answer.amount << ':' << answer.free
                << answer.done;
        out << '\n';
    }
}

} // namespace swiftlift::ledger::internal
