#include "swiftlift/request/RequestTable.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace swiftlift::request {

RequestTable::RequestTable(std::size_t remembered)
    : remembered_(remembered)
{
}

Arrival RequestTable::arrive(const RequestKey& key, CallId call, std::uint32_t attempt, bool idempotent)
{
    if (auto found = records_.find(key); found != records_.end()) {
        return arriveAgain(found->second, call, attempt, idempotent);
    }
    Record record;
    record.call = call;
    record.idempotent = idempotent;
    record.attempt = attempt;
    record.wholeHistoryKnown = attempt <= 1;
    records_.emplace(key, std::move(record));
    ++inProgress_;
    return Arrival::Proceed;
}

Arrival RequestTable::arriveAgain(Record& record, CallId call, std::uint32_t attempt, bool idempotent)
{
    if (!record.ended) {
        return Arrival::InProgress;
    }
    // A request that was ever marked non-idempotent stays so: a retry that forgets the mark must not run it twice.
    const bool runOnce = !record.idempotent || !idempotent;
    const bool finished = record.ended != Outcome::NotRun || record.claim != ClaimState::None;
    if (runOnce && (finished || record.maybeStarted)) {
        return Arrival::AlreadyEnded;
    }
    // An attempt that skips a number went to another router in between: what became of it there is not known here.
    const bool noneMissed = attempt <= record.attempt + 1;
    record.wholeHistoryKnown = record.wholeHistoryKnown && noneMissed;
    record.call = call;
    record.idempotent = !runOnce;
    record.attempt = std::max(attempt, record.attempt);
    record.ended.reset();
    record.reason.clear();
    ++inProgress_;
    return Arrival::Proceed;
}

void RequestTable::markInProgressHistoryUnknown()
{
    for (auto& [key, record] : records_) {
        record.wholeHistoryKnown = record.wholeHistoryKnown && record.ended;
    }
}

void RequestTable::markHistoryUnknown(const RequestKey& key)
{
    if (auto found = records_.find(key); found != records_.end()) {
        found->second.wholeHistoryKnown = false;
    }
}

void RequestTable::claimSent(const RequestKey& key)
{
    auto found = records_.find(key);
    assert(found != records_.end() && "a claim is sent for a known request only");
    found->second.claim = ClaimState::Pending;
}

void RequestTable::claimDecided(const RequestKey& key, Incarnation owner, Incarnation self)
{
    auto found = records_.find(key);
    if (found == records_.end()) {
        return;
    }
    Record& record = found->second;
    if (owner == self) {
        record.claim = ClaimState::Ours;
    } else if (owner == Incarnation {}) {
        record.claim = ClaimState::Void;
    } else {
        record.claim = ClaimState::Theirs;
    }
}

void RequestTable::claimFound(const RequestKey& key, Incarnation owner)
{
    auto found = records_.find(key);
    assert(found != records_.end() && "a claim is looked up for a known request only");
    found->second.claim = owner == Incarnation {} ? ClaimState::Void : ClaimState::Theirs;
}

bool RequestTable::mayDispatch(const RequestKey& key) const
{
    const Record* record = find(key);
    if (record == nullptr || record->ended || record->attemptRunning) {
        return false;
    }
    if (record->idempotent) {
        return true;
    }
    return record->claim == ClaimState::Ours && !record->maybeStarted;
}

void RequestTable::dispatched(const RequestKey& key)
{
    assert(mayDispatch(key) && "only a request that may be dispatched is");
    records_.at(key).attemptRunning = true;
}

void RequestTable::attemptEnded(const RequestKey& key, AttemptEnd end)
{
    auto found = records_.find(key);
    if (found == records_.end()) {
        return;
    }
    found->second.attemptRunning = false;
    if (end == AttemptEnd::Completed || end == AttemptEnd::Broken) {
        found->second.maybeStarted = true;
    }
}

Outcome RequestTable::outcomeIfGivenUp(const RequestKey& key) const
{
    const Record* record = find(key);
    if (record == nullptr || record->attemptRunning || record->maybeStarted) {
        return Outcome::Unknown;
    }
    if (record->claim == ClaimState::Void) {
        return Outcome::NotRun;
    }
    if (record->claim == ClaimState::Theirs) {
        return Outcome::Unknown;
    }
    if (record->claim == ClaimState::Ours) {
        return Outcome::NotRun;
    }
    // What goes wrong: an earlier attempt sits in a paused router, which wakes up after this one has said "not run" and
    // dispatches it. The caller then sees an effect it was told is not there. So only the router that knows of every
    // attempt says "not run"; any other says that it does not know.
    return record->wholeHistoryKnown ? Outcome::NotRun : Outcome::Unknown;
}

bool RequestTable::end(const RequestKey& key, Outcome outcome, std::string reason, Tokens billed)
{
    auto found = records_.find(key);
    assert(found != records_.end() && !found->second.ended && "a request ends once");
    Record& record = found->second;
    record.ended = outcome;
    record.reason = std::move(reason);
    record.billed = billed;
    record.attemptRunning = false;
    --inProgress_;
    endedOrder_.push_back(key);
    forgetOldest();
    const bool claimHeld = record.claim == ClaimState::Ours || record.claim == ClaimState::Pending;
    return claimHeld && outcome != Outcome::Answered && !record.maybeStarted;
}

void RequestTable::forgetOldest()
{
    while (endedOrder_.size() > remembered_) {
        auto oldest = records_.find(endedOrder_.front());
        endedOrder_.pop_front();
        if (oldest != records_.end() && oldest->second.ended) {
            records_.erase(oldest);
        }
    }
}

const Record* RequestTable::find(const RequestKey& key) const
{
    auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
}

} // namespace swiftlift::request
