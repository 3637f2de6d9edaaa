#include "ledger/BorrowedLoan.h"

#include <algorithm>
#include <cassert>

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration firstRepeat = 200ms;
    constexpr std::uint32_t mostDoublings = 7;

} // namespace

Tokens BorrowedLoan::free() const noexcept
{
    return state_ == LoanState::Held ? amount_ - billed_ - reserved_ : Tokens {};
}

void BorrowedLoan::given(GrantId grant, Tokens amount, bool holderOnly, Instant now)
{
    assert(state_ == LoanState::Asked && "a loan is given once");
    state_ = LoanState::Held;
    grant_ = grant;
    holderOnly_ = holderOnly;
    amount_ = amount;
    since_ = now;
}

void BorrowedLoan::reserve(Tokens amount, Instant now)
{
    assert(amount <= free() && "never above the loan");
    reserved_ += amount;
    since_ = now;
}

void BorrowedLoan::settle(RequestKey key, Tokens reserved, Tokens billed)
{
    assert(billed <= reserved && reserved <= reserved_ && "a bill stays within its reservation");
    reserved_ -= reserved;
    if (billed == Tokens {})
        return;
    billed_ += billed;
    emitted_ += billed;
    unread_.insert(key);
}

bool BorrowedLoan::billRead(RequestKey key, Tokens tokens, bool counted)
{
    const auto found = unread_.find(key);
    if (found == unread_.end())
        return false;
    unread_.erase(found);
    // A loan that has ended told the lender its sum already; the lender frees these tokens itself as it reads them.
    if (!counted && state_ == LoanState::Held)
        billed_ -= tokens;
    return true;
}

void BorrowedLoan::end(Instant now)
{
    assert(reserved_ == Tokens {} && "H10: not while a request may still be billed to it");
    state_ = LoanState::Ending;
    since_ = now;
    repeatAt_ = now;
    attempts_ = 0;
}

bool BorrowedLoan::repeatDue(Instant now)
{
    if (state_ == LoanState::Held || (attempts_ > 0 && now < repeatAt_))
        return false;
    repeatAt_ = now + firstRepeat * (1U << std::min(attempts_, mostDoublings));
    ++attempts_;
    return true;
}

void BorrowedLoan::print(std::ostream& out) const
{
    out << "borrowed " << number_ << " from " << lender_ << ' ' << budget_.account << '/' << budget_.budget << " state "
        << static_cast<int>(state_) << " grant " << grant_.number << " asked " << asked_ << " amount " << amount_
        << " billed " << billed_ << " emitted " << emitted_ << " reserved " << reserved_ << " since "
        << since_.time_since_epoch().count() << " repeat " << repeatAt_.time_since_epoch().count() << ' ' << attempts_;
    for (const RequestKey& key : unread_)
        out << " unread " << key.high << ':' << key.low;
    out << '\n';
}

} // namespace swiftlift::ledger::internal
