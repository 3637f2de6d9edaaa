#include "ledger/HolderGrant.h"

#include <algorithm>
#include <cassert>

namespace swiftlift::ledger::internal {

namespace {

    constexpr Incarnation nobody {};
    constexpr Tokens none {};

} // namespace

// H3: an unwitnessed grant is spendable whole. While a change of witness is in flight the acknowledged ceiling holds
// whichever of the change and a seal comes first in the log.
Tokens HolderGrant::ceiling() const noexcept
{
    if (witness_ == nobody && !changingTo_)
        return amount_;
    return std::min(acknowledged_, amount_);
}

Tokens HolderGrant::billed() const noexcept
{
    Tokens sum = ownBilled_;
    for (const auto& [borrower, share] : borrowers_)
        sum += share.charge() - share.lent;
    return sum;
}

Tokens HolderGrant::lent() const noexcept
{
    Tokens sum;
    for (const auto& [borrower, share] : borrowers_)
        sum += share.lent;
    return sum;
}

Tokens HolderGrant::charge() const noexcept { return billed() + reserved_ + lent(); }

Tokens HolderGrant::free() const noexcept { return isOpen() ? std::max(ceiling() - charge(), none) : none; }

Tokens HolderGrant::remainder() const noexcept { return isOpen() ? amount_ - charge() : none; }

// H5, H9: a borrower's bill that lands after the grant was closed would be refused, and its answered request would
// never be paid for. So the grant is busy until every bill that a borrower spoke of has been read back.
bool HolderGrant::idle() const noexcept
{
    const auto settled = [](const auto& borrower) { return borrower.second.settled(); };
    return reserved_ == none && std::ranges::all_of(borrowers_, settled);
}

void HolderGrant::admitted(Tokens amount, Incarnation witness)
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

// H4: from here on the part is out of use, whether or not the entry has landed.
void HolderGrant::giveBack(Tokens amount)
{
    assert(amount <= remainder() && "only what is not in use is given back");
    amount_ -= amount;
}

void HolderGrant::seal() noexcept
{
    if (state_ == HolderGrantState::Open)
        state_ = HolderGrantState::Sealed;
}

// H6: an acknowledgement of the old witness that arrives after the change was stated would lift the ceiling above the
// one in the log, and the new witness could seal below what is spent. It is dropped; so is one of any other router.
void HolderGrant::acknowledged(Incarnation from, Tokens ceiling, bool holderOnly)
{
    if (!isOpen() || changingTo_ || from != witness_)
        return;
    acknowledged_ = std::max(acknowledged_, ceiling);
    holderOnly_ = holderOnly_ || holderOnly;
    raise.refused = false;
    if (acknowledged_ >= raise.asked && (holderOnly_ || !raise.holderOnly))
        raise = Raise { raise.asked, raise.holderOnly };
}

Tokens HolderGrant::changeWitness(Incarnation to, Tokens headRoom)
{
    assert(isOpen() && !changingTo_ && "one change at a time");
    if (witness_ == nobody)
        acknowledged_ = std::min(amount_, charge() + headRoom);
    changingTo_ = to;
    raise = Raise {};
    return std::min(acknowledged_, amount_);
}

void HolderGrant::witnessRead(Incarnation witness)
{
    witness_ = witness;
    if (changingTo_ != witness)
        return;
    changingTo_.reset();
    raise = Raise {};
}

// H8: the whole loan stands against the ceiling until the borrower says that it is done.
void HolderGrant::lend(Incarnation borrower, Tokens amount)
{
    assert(amount <= free() && "H2, H3: never above the ceiling");
    BorrowerShare& share = borrowers_[borrower];
    ++share.openLoans;
    share.lent += amount;
}

void HolderGrant::loanDone(Incarnation borrower, Tokens amount, Tokens billed)
{
    BorrowerShare& share = borrowers_[borrower];
    --share.openLoans;
    share.lent -= amount;
    // Bills that did not count were spent again by the borrower, so their sum may pass the loan; the charge never does.
    share.charged += std::min(billed, amount);
    share.toRead += billed;
    share.settle();
}

void HolderGrant::borrowerBilled(Incarnation borrower, Tokens tokens, bool counted)
{
    BorrowerShare& share = borrowers_[borrower];
    share.read += tokens;
    if (counted)
        share.counted += tokens;
    share.settle();
}

void HolderGrant::print(std::ostream& out) const
{
    out << "grant " << id_.number << " of " << budget_.account << '/' << budget_.budget << " state "
        << static_cast<int>(state_) << " witness " << witness_ << " to " << (changingTo_ ? changingTo_->value() : 0)
        << (changingTo_ ? "!" : "") << " amount " << amount_ << " acknowledged " << acknowledged_ << " billed "
        << ownBilled_ << " reserved " << reserved_ << " raise " << raise.asked << ' '
        << raise.firstAskedAt.time_since_epoch().count() << ' ' << raise.askedAt.time_since_epoch().count() << ' '
        << raise.attempts << raise.refused << holderOnly_;
    for (const auto& [borrower, share] : borrowers_) {
        out << " borrower " << borrower << ' ' << share.openLoans << ' ' << share.lent << ' ' << share.charged << ' '
            << share.toRead << ' ' << share.read << ' ' << share.counted;
    }
    out << '\n';
}

} // namespace swiftlift::ledger::internal
