#include "swiftlift/request/RequestTable.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace swiftlift::request {

RequestTable::RequestTable(std::size_t maxRemembered)
    : maxRemembered_(maxRemembered)
{
}

Arrival RequestTable::arrive(const RequestKey& key, CallId call, std::uint32_t attempt, bool idempotent)
{
    if (auto found = records_.find(key); found != records_.end()) {
        return arriveRepeated(found->second, call, attempt, idempotent);
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

Arrival RequestTable::arriveRepeated(Record& record, CallId call, std::uint32_t attempt, bool idempotent)
{
    if (!record.ended) {
        return Arrival::InProgress;
    }
    // A request that was ever marked non-idempotent stays non-idempotent: a retry without the mark must not run it
    // twice.
    const bool mustRunOnce = !record.idempotent || !idempotent;
    const bool mayHaveEffect = record.ended != Outcome::NotRun || record.claim != ClaimState::None;
    if (mustRunOnce && (mayHaveEffect || record.maybeStarted)) {
        return Arrival::AlreadyEnded;
    }
    // A gap in the attempt numbers means that the caller sent attempts to other routers, whose outcome is unknown here.
    const bool noAttemptMissed = attempt <= record.attempt + 1;
    record.wholeHistoryKnown = record.wholeHistoryKnown && noAttemptMissed;
    record.call = call;
    record.idempotent = !mustRunOnce;
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
    assert(found != records_.end() && "claimSent() without a record of the request");
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
    assert(found != records_.end() && "claimFound() without a record of the request");
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
    assert(mayDispatch(key) && "dispatched() for a request that may not be dispatched");
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
    // An earlier attempt may be held by a suspended router, which resumes and dispatches it after this router has
    // reported "not run"; the caller would then see an effect in spite of the outcome "not run". So "not run" is
    // reported only by a router that received every attempt of the caller; any other router reports "unknown".
    return record->wholeHistoryKnown ? Outcome::NotRun : Outcome::Unknown;
}

bool RequestTable::end(const RequestKey& key, Outcome outcome, std::string reason, Tokens billed)
{
    auto found = records_.find(key);
    assert(found != records_.end() && !found->second.ended && "end() for a request that is not in progress");
    Record& record = found->second;
    record.ended = outcome;
    record.reason = std::move(reason);
    record.billed = billed;
    record.attemptRunning = false;
    --inProgress_;
    endedKeys_.push_back(key);
    evictOldestEnded();
    const bool claimMayBeOurs = record.claim == ClaimState::Ours || record.claim == ClaimState::Pending;
    return claimMayBeOurs && outcome != Outcome::Answered && !record.maybeStarted;
}

void RequestTable::evictOldestEnded()
{
    while (endedKeys_.size() > maxRemembered_) {
        auto oldest = records_.find(endedKeys_.front());
        endedKeys_.pop_front();
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
