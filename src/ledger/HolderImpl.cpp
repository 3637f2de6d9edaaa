#include "ledger/HolderImpl.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace swiftlift::ledger::internal {

namespace {

    /** Attempts to send LoanDone after which the lender counts as gone. Only the lender's own grant stays charged then.
     */
    constexpr std::uint32_t maxLoanDoneAttempts = 6;

} // namespace

HolderImpl::HolderImpl(Incarnation self, std::shared_ptr<const HoldingPolicy> policy, const Fold& fold)
    : self_(self)
    , policy_(std::move(policy))
    , fold_(&fold)
{
}

HolderImpl::HolderImpl(const HolderImpl& other, const Fold& fold)
    : HolderImpl(other)
{
    fold_ = &fold;
}

bool HolderImpl::drained() const
{
    const auto isAbandoned = [](const auto& loan) {
        return loan.second.state() == LoanState::Ending && loan.second.attempts() >= maxLoanDoneAttempts;
    };
    return grants_.empty() && std::ranges::all_of(loans_, isAbandoned);
}

std::vector<HoldingView> HolderImpl::holdings() const
{
    std::vector<HoldingView> views;
    for (const auto& [number, grant] : grants_) {
        views.push_back(HoldingView { grant.budget(), grant.id(), grant.amount(), grant.ceiling(), grant.billed(),
            grant.reserved(), grant.lent(), Tokens {}, grant.witness(), grant.isOpen() });
    }
    for (const auto& [number, loan] : loans_) {
        views.push_back(HoldingView { loan.budget(), loan.grant(), loan.amount(), loan.amount(), loan.billed(),
            loan.reserved(), Tokens {}, loan.amount(), Incarnation {}, loan.state() == LoanState::Held });
    }
    return views;
}

std::string HolderImpl::stateText() const
{
    std::ostringstream out;
    out << "holder " << self_ << " at " << now_.time_since_epoch().count() << " retired " << retired_ << " reading "
        << author_ << " last " << lastGrant_ << ' ' << lastLoan_ << " log " << environment_.logReachable
        << environment_.stopping << " witness " << environment_.witness.value_or(Incarnation {}) << " since "
        << witnessSince_.time_since_epoch().count() << " silent " << silentWitness_ << " until "
        << silentUntil_.time_since_epoch().count() << " draws take " << drawLatency_.count() << " caught up "
        << environment_.caughtUp;
    for (const Incarnation lender : environment_.lenders)
        out << " lender " << lender;
    out << '\n';
    for (const auto& [number, grant] : grants_)
        grant.print(out);
    for (const auto& [number, loan] : loans_)
        loan.print(out);
    loanAnswers_.print(out);
    for (const auto& [budget, budgetState] : budgetStates_)
        budgetState.print(out);
    return out.str();
}

} // namespace swiftlift::ledger::internal
