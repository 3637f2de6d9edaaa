#include "ledger/BorrowedLoan.h"

#include <algorithm>
#include <cassert>

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    /** Delay of the first retry of a loan message; doubles with each further one. */
    constexpr Duration initialRetryDelay = 200ms;
    constexpr std::uint32_t maxBackoffDoublings = 7;

} // namespace

Tokens BorrowedLoan::free() const noexcept
{
    return state_ == LoanState::Held ? amount_ - billed_ - reserved_ : Tokens {};
}

void BorrowedLoan::onGranted(GrantId grant, Tokens amount, bool holderOnly, Instant now)
{
    assert(state_ == LoanState::Requested && "a loan is granted once");
    state_ = LoanState::Held;
    grant_ = grant;
    holderOnly_ = holderOnly;
    amount_ = amount;
    lastUsedAt_ = now;
}

void BorrowedLoan::reserve(Tokens amount, Instant now)
{
    assert(amount <= free() && "never above the loan");
    reserved_ += amount;
    lastUsedAt_ = now;
}

void BorrowedLoan::settle(RequestKey key, Tokens reserved, Tokens billed)
{
    assert(billed <= reserved && reserved <= reserved_ && "a bill stays within its reservation");
    reserved_ -= reserved;
    if (billed == Tokens {})
        return;
    billed_ += billed;
    emittedBills_ += billed;
    unreadBills_.insert(key);
}

bool BorrowedLoan::onBillRead(RequestKey key, Tokens tokens, bool counted)
{
    const auto found = unreadBills_.find(key);
    if (found == unreadBills_.end())
        return false;
    unreadBills_.erase(found);
    // Once the loan has ended, its sum of bills was reported, and the lender frees these tokens when it reads the bill.
    if (!counted && state_ == LoanState::Held)
        billed_ -= tokens;
    return true;
}

void BorrowedLoan::end(Instant now)
{
    assert(reserved_ == Tokens {} && "H10: not while a request may still be billed to it");
    state_ = LoanState::Ending;
    lastUsedAt_ = now;
    retryAt_ = now;
    attempts_ = 0;
}

bool BorrowedLoan::takeDueAttempt(Instant now)
{
    if (state_ == LoanState::Held || (attempts_ > 0 && now < retryAt_))
        return false;
    retryAt_ = now + initialRetryDelay * (1U << std::min(attempts_, maxBackoffDoublings));
    ++attempts_;
    return true;
}

void BorrowedLoan::print(std::ostream& out) const
{
    out << "borrowed " << number_ << " from " << lender_ << ' ' << budget_.account << '/' << budget_.budget << " state "
        << static_cast<int>(state_) << " grant " << grant_.number << " asked " << requestedAmount_ << " amount "
        << amount_ << " billed " << billed_ << " emitted " << emittedBills_ << " reserved " << reserved_ << " since "
        << lastUsedAt_.time_since_epoch().count() << " repeat " << retryAt_.time_since_epoch().count() << ' '
        << attempts_;
    for (const RequestKey& key : unreadBills_)
        out << " unread " << key.high << ':' << key.low;
    out << '\n';
}

} // namespace swiftlift::ledger::internal
