#include "ledger/HolderGrant.h"

#include <algorithm>
#include <cassert>

namespace swiftlift::ledger::internal {

namespace {

    constexpr Incarnation noWitness {};
    constexpr Tokens none {};

} // namespace

// H3: the whole of an unwitnessed grant is spendable. While a change of witness is in flight, the acknowledged ceiling
// is safe whether the change or a seal of the old witness comes first in the log.
Tokens HolderGrant::ceiling() const noexcept
{
    if (witness_ == noWitness && !nextWitness_)
        return amount_;
    return std::min(acknowledgedCeiling_, amount_);
}

Tokens HolderGrant::billed() const noexcept
{
    Tokens sum = ownBilled_;
    for (const auto& [borrower, share] : borrowers_)
        sum += share.committed() - share.lent;
    return sum;
}

Tokens HolderGrant::lent() const noexcept
{
    Tokens sum;
    for (const auto& [borrower, share] : borrowers_)
        sum += share.lent;
    return sum;
}

Tokens HolderGrant::committed() const noexcept { return billed() + reserved_ + lent(); }

Tokens HolderGrant::free() const noexcept { return isOpen() ? std::max(ceiling() - committed(), none) : none; }

Tokens HolderGrant::remainder() const noexcept { return isOpen() ? amount_ - committed() : none; }

// H5, H9: a borrower's bill that lands after the grant was closed is refused, and its answered request is never
// charged. The grant is therefore not idle until every bill that a borrower reported has been read back.
bool HolderGrant::isIdle() const noexcept
{
    const auto isSettled = [](const auto& borrower) { return borrower.second.isSettled(); };
    return reserved_ == none && std::ranges::all_of(borrowers_, isSettled);
}

void HolderGrant::onAdmitted(Tokens amount, Incarnation witness)
{
    assert(state_ == HolderGrantState::Drawing && "a grant is admitted once");
    state_ = HolderGrantState::Open;
    amount_ = amount;
    witness_ = witness;
}

void HolderGrant::reserve(Tokens amount)
{
    assert(amount <= free() && "H2, H3: never above the ceiling");
    reserved_ += amount;
}

void HolderGrant::settle(Tokens reserved, Tokens billed)
{
    assert(billed <= reserved && reserved <= reserved_ && "a bill stays within its reservation");
    reserved_ -= reserved;
    ownBilled_ += billed;
}

void HolderGrant::refund(Tokens tokens)
{
    assert(tokens <= ownBilled_ && "only what was billed is refunded");
    ownBilled_ -= tokens;
}

// H4: the returned tokens are out of use from now on, whether or not the Return entry has landed.
void HolderGrant::returnTokens(Tokens amount)
{
    assert(amount <= remainder() && "only what is not in use is returned");
    amount_ -= amount;
}

void HolderGrant::seal() noexcept
{
    if (state_ == HolderGrantState::Open)
        state_ = HolderGrantState::Sealed;
}

// H6: acknowledgements are ignored while a change of witness is in flight, and from any router but the witness. An
// acknowledgement of the old witness would lift the ceiling above the one stated in the log, so that the new witness
// could seal below what is spent.
void HolderGrant::onCeilingAcknowledged(Incarnation from, Tokens ceiling, bool holderOnly)
{
    if (!isOpen() || nextWitness_ || from != witness_)
        return;
    acknowledgedCeiling_ = std::max(acknowledgedCeiling_, ceiling);
    holderOnly_ = holderOnly_ || holderOnly;
    raise.refused = false;
    if (acknowledgedCeiling_ >= raise.requestedCeiling && (holderOnly_ || !raise.holderOnly))
        raise = Raise { raise.requestedCeiling, raise.holderOnly };
}

Tokens HolderGrant::changeWitness(Incarnation to, Tokens headroom)
{
    assert(isOpen() && !nextWitness_ && "only one change of witness is in flight at a time");
    if (witness_ == noWitness)
        acknowledgedCeiling_ = std::min(amount_, committed() + headroom);
    nextWitness_ = to;
    raise = Raise {};
    return std::min(acknowledgedCeiling_, amount_);
}

void HolderGrant::onWitnessRead(Incarnation witness)
{
    witness_ = witness;
    if (nextWitness_ != witness)
        return;
    nextWitness_.reset();
    raise = Raise {};
}

// H8: the whole loan counts against the ceiling until the borrower reports it as done.
void HolderGrant::lend(Incarnation borrower, Tokens amount)
{
    assert(amount <= free() && "H2, H3: never above the ceiling");
    BorrowerShare& share = borrowers_[borrower];
    ++share.openLoans;
    share.lent += amount;
}

void HolderGrant::finishLoan(Incarnation borrower, Tokens amount, Tokens billed)
{
    BorrowerShare& share = borrowers_[borrower];
    --share.openLoans;
    share.lent -= amount;
    // The borrower spends tokens of uncounted bills again, so the sum of its bills may exceed the loan; the charge does
    // not.
    share.finishedCharge += std::min(billed, amount);
    share.announcedBills += billed;
    share.settle();
}

void HolderGrant::onBorrowerBill(Incarnation borrower, Tokens tokens, bool counted)
{
    BorrowerShare& share = borrowers_[borrower];
    share.readBills += tokens;
    if (counted)
        share.counted += tokens;
    share.settle();
}

void HolderGrant::print(std::ostream& out) const
{
    out << "grant " << id_.number << " of " << budget_.account << '/' << budget_.budget << " state "
        << static_cast<int>(state_) << " witness " << witness_ << " to " << (nextWitness_ ? nextWitness_->value() : 0)
        << (nextWitness_ ? "!" : "") << " amount " << amount_ << " acknowledged " << acknowledgedCeiling_ << " billed "
        << ownBilled_ << " reserved " << reserved_ << " raise " << raise.requestedCeiling << ' '
        << raise.firstRequestedAt.time_since_epoch().count() << ' ' << raise.requestedAt.time_since_epoch().count()
        << ' ' << raise.attempts << raise.refused << holderOnly_;
    for (const auto& [borrower, share] : borrowers_) {
        out << " borrower " << borrower << ' ' << share.openLoans << ' ' << share.lent << ' ' << share.finishedCharge
            << ' ' << share.announcedBills << ' ' << share.readBills << ' ' << share.counted;
    }
    out << '\n';
}

} // namespace swiftlift::ledger::internal
