#include "swiftlift/ledger/Holder.h"

#include <utility>

#include "ledger/HolderImpl.h"

namespace swiftlift::ledger {

Holder::Holder(Incarnation self, std::unique_ptr<HoldingPolicy> policy, const Fold& fold)
    : impl_(std::make_unique<internal::HolderImpl>(self, std::move(policy), fold))
{
}

Holder::Holder(const Holder& other, const Fold& fold)
    : impl_(std::make_unique<internal::HolderImpl>(*other.impl_, fold))
{
}

Holder::~Holder() = default;
Holder::Holder(Holder&&) noexcept = default;
Holder& Holder::operator=(Holder&&) noexcept = default;

std::variant<Reservation, Shortage> Holder::reserve(
    const BudgetRef& budget, RequestKey key, Tokens amount, Instant now, LedgerActions& actions)
{
    return impl_->reserve(budget, key, amount, now, actions);
}

void Holder::withdraw(const BudgetRef& budget, RequestKey key, Instant now) { impl_->withdraw(budget, key, now); }

Tokens Holder::spendable(const BudgetRef& budget) const { return impl_->spendable(budget); }

void Holder::settle(const Reservation& reservation, Tokens actual, LedgerActions& actions)
{
    impl_->settle(reservation, actual, actions);
}

void Holder::preallocate(const BudgetRef& budget) { impl_->preallocate(budget); }

void Holder::setWeighting(const BudgetRef& budget, Weighting weighting) { impl_->setWeighting(budget, weighting); }

bool Holder::isHolderOnly(const Reservation& reservation) const { return impl_->isHolderOnly(reservation); }

bool Holder::borrowsFrom(const GrantId& grant) const { return impl_->borrowsFrom(grant); }

void Holder::release(const Reservation& reservation, LedgerActions& actions)
{
    impl_->settle(reservation, Tokens {}, actions);
}

void Holder::onEffect(const Effect& effect, Instant now, LedgerActions& actions)
{
    impl_->onEffect(effect, now, actions);
}

void Holder::onCeilingsAcked(
    Incarnation from, const std::vector<Ceiling>& ceilings, Instant now, LedgerActions& actions)
{
    impl_->onCeilingsAcked(from, ceilings, now, actions);
}

void Holder::onCeilingsRefused(
    Incarnation from, const std::vector<GrantId>& grants, Instant now, LedgerActions& actions)
{
    impl_->onCeilingsRefused(from, grants, now, actions);
}

void Holder::onLoanAsk(
    Incarnation from, std::uint64_t loan, const BudgetRef& budget, Tokens amount, Instant now, LedgerActions& actions)
{
    impl_->onLoanAsk(from, loan, budget, amount, now, actions);
}

void Holder::onLoanGiven(Incarnation from, std::uint64_t loan, const BudgetRef&, GrantId grant, Tokens amount,
    Instant now, LedgerActions& actions, bool holderOnly)
{
    impl_->onLoanGiven(from, loan, grant, amount, holderOnly, now, actions);
}

void Holder::onLoanDenied(
    Incarnation from, std::uint64_t loan, const BudgetRef&, Tokens free, Instant now, LedgerActions& actions)
{
    impl_->onLoanDenied(from, loan, free, now, actions);
}

void Holder::onLoanDone(Incarnation from, std::uint64_t loan, Tokens billed, Instant now, LedgerActions& actions)
{
    impl_->onLoanDone(from, loan, billed, now, actions);
}

void Holder::onLoanDoneAcked(Incarnation from, std::uint64_t loan, Instant now, LedgerActions& actions)
{
    impl_->onLoanDoneAcked(from, loan, now, actions);
}

void Holder::onTick(Instant now, const HolderEnvironment& environment, LedgerActions& actions)
{
    impl_->onTick(now, environment, actions);
}

bool Holder::drained() const { return impl_->drained(); }

std::vector<HoldingView> Holder::holdings() const { return impl_->holdings(); }

std::string Holder::stateText() const { return impl_->stateText(); }

} // namespace swiftlift::ledger
