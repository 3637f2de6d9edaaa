#include "swiftlift/routing/FairQueue.h"

#include <algorithm>
#include <cassert>
#include <chrono>

namespace swiftlift::routing {

namespace {

    using namespace std::chrono_literals;

    // Virtual time units per token, so that tokens divided by a weight keep fractions.
    constexpr std::uint64_t virtualScale = 1024;
    // Time over which the drain rate is measured.
    constexpr Duration drainWindow = 1s;
    // Weight of a new sample of the drain rate.
    constexpr double drainSmoothing = 0.3;

    [[nodiscard]] std::uint64_t virtualCost(const WaitingCall& call)
    {
        const auto tokens = static_cast<std::uint64_t>(std::max<std::int64_t>(call.cost.value(), 1));
        return tokens * virtualScale / call.weight;
    }

} // namespace

FairQueue::FairQueue(std::size_t maxWaiting)
    : maxWaiting_(maxWaiting)
{
}

PushResult FairQueue::push(const WaitingCall& call, Instant now)
{
    assert(call.weight > 0 && "an account of weight 0 would never be served");
    assert(!calls_.contains(call.call) && "the call is in the queue already");
    PushResult result;
    if (maxWaiting_ == 0) {
        return result;
    }
    if (calls_.size() >= maxWaiting_) {
        const AccountId displacedAccount = accountMostOverShare(call.account, call.weight);
        if (displacedAccount == call.account) {
            return result;
        }
        const CallId last = lines_.at(displacedAccount).calls.rbegin()->second;
        erase(last);
        result.displaced.push_back(last);
    }
    // The drain rate leaves out the time in which the queue was empty, which would look like a queue that stands still.
    if (calls_.empty()) {
        drainSince_ = now;
        drained_ = 0;
    }
    Line& line = lines_[call.account];
    if (line.calls.empty()) {
        line.start = std::max(line.start, virtualTime_);
    }
    line.weight = call.weight;
    line.waiting += call.cost;
    const LineKey key { call.priority, ++arrivals_ };
    line.calls[key] = call.call;
    calls_[call.call] = Entry { call, key };
    deadlines_.emplace(call.deadline, call.call);
    result.accepted = true;
    return result;
}

// If a full queue refused every new call, the account that sends most would fill the queue, and the calls of all others
// would be refused.
AccountId FairQueue::accountMostOverShare(const AccountId& newcomer, std::uint32_t weight) const
{
    AccountId most = newcomer;
    double highestShare = static_cast<double>(sizeOf(newcomer) + 1) / weight;
    for (const auto& [account, line] : lines_) {
        const double share = static_cast<double>(line.calls.size()) / line.weight;
        if (account != newcomer && share > highestShare) {
            most = account;
            highestShare = share;
        }
    }
    return most;
}

std::optional<WaitingCall> FairQueue::peek(const PassedOver& passedOver) const
{
    const Line* first = nullptr;
    CallId next;
    for (const auto& [account, line] : lines_) {
        const auto last = passedOver.find(account);
        const auto call = last == passedOver.end() ? line.calls.begin() : line.calls.upper_bound(last->second);
        if (call != line.calls.end() && (first == nullptr || line.start < first->start)) {
            first = &line;
            next = call->second;
        }
    }
    return first == nullptr ? std::nullopt : std::optional<WaitingCall> { calls_.at(next).call };
}

void FairQueue::passOver(CallId call, PassedOver& passedOver) const
{
    if (const auto found = calls_.find(call); found != calls_.end()) {
        passedOver.insert_or_assign(found->second.call.account, found->second.key);
    }
}

std::optional<WaitingCall> FairQueue::pop(Instant now)
{
    std::optional<WaitingCall> call = peek();
    if (call) {
        take(call->call, now);
    }
    return call;
}

bool FairQueue::take(CallId call, Instant now)
{
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return false;
    }
    chargeService(found->second.call, now);
    erase(call);
    eraseIdleLines();
    return true;
}

void FairQueue::chargeService(const WaitingCall& call, Instant now)
{
    Line& line = lines_.at(call.account);
    virtualTime_ = std::max(virtualTime_, line.start);
    line.start += virtualCost(call);
    drained_ += static_cast<double>(call.cost.value());
    const Duration since = now - drainSince_;
    if (since < drainWindow) {
        return;
    }
    const double rate = drained_ / std::chrono::duration<double>(since).count();
    drainRate_ = drainRate_ ? *drainRate_ + drainSmoothing * (rate - *drainRate_) : rate;
    drained_ = 0;
    drainSince_ = now;
}

void FairQueue::erase(CallId call)
{
    const Entry entry = calls_.at(call);
    Line& line = lines_.at(entry.call.account);
    line.calls.erase(entry.key);
    line.waiting -= entry.call.cost;
    deadlines_.erase({ entry.call.deadline, call });
    calls_.erase(call);
}

// Keeps the start time of accounts without waiting calls that were served ahead of their share: otherwise an account
// could get more than its share by sending one call at a time.
void FairQueue::eraseIdleLines()
{
    std::erase_if(
        lines_, [this](const auto& entry) { return entry.second.calls.empty() && entry.second.start <= virtualTime_; });
}

bool FairQueue::remove(CallId call)
{
    if (!calls_.contains(call)) {
        return false;
    }
    erase(call);
    eraseIdleLines();
    return true;
}

std::vector<CallId> FairQueue::expire(Instant now, Duration minServiceTime)
{
    std::vector<CallId> expired;
    while (!deadlines_.empty() && deadlines_.begin()->first < now + minServiceTime) {
        expired.push_back(deadlines_.begin()->second);
        erase(expired.back());
    }
    eraseIdleLines();
    return expired;
}

std::size_t FairQueue::sizeOf(const AccountId& account) const
{
    const auto found = lines_.find(account);
    return found == lines_.end() ? 0 : found->second.calls.size();
}

Tokens FairQueue::aheadOf(const AccountId& account, std::uint32_t weight, Priority priority) const
{
    Tokens own;
    if (const auto found = lines_.find(account); found != lines_.end()) {
        for (const auto& [key, call] : found->second.calls) {
            own += key.first <= priority ? calls_.at(call).call.cost : Tokens {};
        }
    }
    // While this account's calls are served, each other account gets at most its share of the same time.
    Tokens ahead = own;
    for (const auto& [other, line] : lines_) {
        if (other != account) {
            const Tokens share { own.value() * line.weight / weight };
            ahead += std::min(line.waiting, share);
        }
    }
    return ahead;
}

bool FairQueue::overShare(const AccountId& account, std::uint32_t weight) const
{
    std::uint64_t weights = weight;
    for (const auto& [other, line] : lines_) {
        weights += other != account && !line.calls.empty() ? line.weight : 0;
    }
    return (sizeOf(account) + 1) * weights > maxWaiting_ * weight && sizeOf(account) > 0;
}

std::optional<double> FairQueue::drainRate(Instant now) const
{
    const Duration since = now - drainSince_;
    // A queue that no longer drains must not be estimated by its earlier rate.
    if (drainRate_ && !calls_.empty() && since > 2 * drainWindow) {
        const double seconds = std::chrono::duration<double>(since).count();
        return std::min(*drainRate_, std::max(drained_, 1.0) / seconds);
    }
    return drainRate_;
}

} // namespace swiftlift::routing
