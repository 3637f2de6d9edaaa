#include "ledger/LoanAnswerHistory.h"

#include <algorithm>
#include <cstddef>

namespace swiftlift::ledger::internal {

namespace {

    constexpr std::size_t keptAnswers = 256;
    constexpr std::size_t keptBorrowers = 1024;

    bool isOpen(const LoanAnswer& answer) { return answer.amount > Tokens {} && !answer.done; }

} // namespace

std::optional<LoanAnswer> LoanAnswerHistory::find(Incarnation borrower, std::uint64_t loan) const
{
    const auto known = borrowers_.find(borrower);
    if (known == borrowers_.end())
        return {};
    if (const auto answer = known->second.answers.find(loan); answer != known->second.answers.end())
        return answer->second;
    if (loan < known->second.forgottenBelow)
        return LoanAnswer { {}, {}, {}, true };
    return {};
}

void LoanAnswerHistory::record(Incarnation borrower, std::uint64_t loan, LoanAnswer answer)
{
    Borrower& known = borrowers_[borrower];
    known.answers.insert_or_assign(loan, answer);
    forget(known);
    if (borrowers_.size() > keptBorrowers)
        forgetBorrower(borrower);
}

// Each restart of a router is a new borrower. Without a bound a lender would remember them all.
void LoanAnswerHistory::forgetBorrower(Incarnation except)
{
    const auto finished = std::ranges::find_if(borrowers_, [&](const auto& known) {
        return known.first != except
            && std::ranges::none_of(known.second.answers, [](const auto& kept) { return isOpen(kept.second); });
    });
    if (finished != borrowers_.end())
        borrowers_.erase(finished);
}

// Without a bound, a borrower that asks for years would fill the lender's memory. An ask that comes later than the next
// 256 ones of its borrower is denied, which costs that borrower one more ask.
void LoanAnswerHistory::forget(Borrower& borrower)
{
    while (borrower.answers.size() > keptAnswers) {
        const auto oldest
            = std::ranges::find_if(borrower.answers, [](const auto& kept) { return !isOpen(kept.second); });
        if (oldest == borrower.answers.end())
            return;
        borrower.forgottenBelow = std::max(borrower.forgottenBelow, oldest->first + 1);
        borrower.answers.erase(oldest);
    }
}

void LoanAnswerHistory::print(std::ostream& out) const
{
    for (const auto& [borrower, known] : borrowers_) {
        out << "asked by " << borrower << " forgotten " << known.forgottenBelow;
        for (const auto& [loan, answer] : known.answers)
            out << ' ' << loan << ':' << answer.grant.number << ':' << answer.amount << ':' << answer.free
                << answer.done;
        out << '\n';
    }
}

} // namespace swiftlift::ledger::internal
