#include "routing/Backend.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "swiftlift/base/RendezvousHash.h"

namespace swiftlift::routing {

namespace {

    using namespace std::chrono_literals;

    // A new sample has a weight of 1/5.
    constexpr int offsetSmoothing = 5;
    constexpr Duration maxOffset = 2s;
    // A slow backend server gets no requests that could show that it has become fast again, so the offset decays.
    constexpr Duration offsetHalfLife = 5s;
    // Bounds the shift by which the offset is divided.
    constexpr std::int64_t maxHalvings = 20;
    /** A server of which nothing was heard for so long may have become brittle. */
    constexpr Duration wordLifetime = 3s;
    /** A request is taken to run for as long, at most, at a server that has completed none. */
    constexpr Duration assumedLongestRun = 10s;
    /** A request may run longer than any that this router has seen, by one part in so many. */
    constexpr int longestRunMargin = 4;

} // namespace

Backend::Backend(BackendEntry entry, const TableSettings& settings, PrefillModel& prefill, PrefixLengths& lengths,
    internal::RequestStatistics& requests, std::uint64_t seed)
    : entry_(std::move(entry))
    , key_(serverKey(entry_.backend, entry_.instance))
    , nameHash_(stableHash(entry_.backend.value()))
    , settings_(settings)
    , prefill_(&prefill)
    , requests_(&requests)
    , load_(settings, entry_.slots)
    , cache_(settings.prefixesKept, lengths)
    , breaker_(settings, seed)
{
}

// A server that restarts under the same id has an empty cache, no connections and no requests. With the state of its
// former instance it would get prompts for prefixes that it no longer caches, stay behind a breaker that its crash
// opened, or get no requests because the former instance announced that it was leaving.
void Backend::setEntry(const BackendEntry& entry, Instant now)
{
    entry_.domain = entry.domain;
    entry_.evacuated = entry.evacuated;
    entry_.cold = entry.cold;
    entry_.version = entry.version;
    entry_.memory = entry.memory;
    const bool newInstance = entry.instance > entry_.instance && entry_.instance != 0;
    entry_.instance = std::max(entry_.instance, entry.instance);
    key_ = serverKey(entry_.backend, entry_.instance);
    if (!newInstance) {
        return;
    }
    entry_.slots = entry.slots;
    load_ = LoadEstimate(settings_, entry.slots);
    sent_.clear();
    arrivals_.clear();
    room_.clear();
    heardAt_.reset();
    unread_ = Tokens {};
    memory_ = Tokens {};
    pace_.reset();
    generation_.reset();
    reported_ = false;
    lastPollFailed_ = false;
    answers_ = true;
    resetForRestart(now);
}

bool Backend::onLoad(const LoadReport& report, Instant now)
{
    if (generation_ && report.generation < *generation_) {
        return false;
    }
    const bool restarted = generation_ && report.generation > *generation_;
    if (restarted) {
        resetForRestart(now);
    }
    generation_ = report.generation;
    if (std::exchange(lastPollFailed_, false)) {
        breaker_.allowProbe(now);
    }
    reported_ = true;
    models_ = { report.models.begin(), report.models.end() };
    load_.onReport(report, now);
    return updateLeaving(report, now) || restarted;
}

void Backend::setAnnounced(const internal::KnownAnnouncement* announced, Instant now)
{
    announcedLimit_ = announced != nullptr ? announced->limit.value : std::nullopt;
    limitStatedAt_ = announced != nullptr ? announced->limit.statedAt.value_or(Instant {}) : Instant {};
    restUntil_ = announced != nullptr ? announced->restUntil : Instant {};
    if (announced != nullptr && announced->leavingStatedAt && !leaving_) {
        onLeaving(now);
    }
}

void Backend::resetForRestart(Instant now)
{
    leaving_.reset();
    cache_.clear();
    load_.restart();
    breaker_.restart(now);
    pausedUntil_.reset();
    offset_ = {};
}

// A load report may have been made before the backend server announced that it is leaving, and must not make it usable
// again. Only a restart does, or load reports that don't confirm the announcement for `leavingHold`.
bool Backend::updateLeaving(const LoadReport& report, Instant now)
{
    if (report.leaving) {
        leaving_ = LeavingState { now, report.generation };
        return false;
    }
    if (leaving_ && !leaving_->generation) {
        leaving_->generation = report.generation;
    }
    const bool withdrawn = leaving_ && now - leaving_->lastAnnounced > settings_.leavingHold;
    if (withdrawn) {
        resetForRestart(now);
    }
    return withdrawn;
}

void Backend::onLeaving(Instant now) { leaving_ = LeavingState { now, generation_ }; }

void Backend::onLoadMissed(Instant now)
{
    lastPollFailed_ = true;
    answers_ = false;
    breaker_.onFailure(std::nullopt, now);
}

void Backend::onDispatched(AttemptId attempt, const DispatchFacts& facts, Instant now)
{
    const Tokens uncached = facts.promptTokens - cache_.expected(facts.prefixHash, facts.promptTokens);
    sent_[attempt] = SentAttempt { facts, now, uncached, predict(uncached, now), load_.now(now).waiting > 0 };
    unread_ += uncached;
    memory_ += facts.memory;
    if (facts.memory > Tokens {}) {
        requests_->memoryNeed.add(facts.memory);
    }
    sent_[attempt].place = room_.onDispatched(load_.inFlight(), now) ? RoomPlace::Trial : RoomPlace::Part;
    load_.onDispatched(attempt, now);
    breaker_.onDispatched(attempt, now);
    arrivals_.onDispatched(now);
}

void Backend::onFirstToken(AttemptId attempt, Instant now)
{
    const auto found = sent_.find(attempt);
    if (found == sent_.end() || found->second.answered) {
        return;
    }
    SentAttempt& sent = found->second;
    subtractUnread(sent);
    sent.answered = true;
    heardAt_ = now;
    breaker_.onSuccess(now);
    const Duration took = now - sent.at;
    if (!sent.waited) {
        prefill_->add(sent.uncached, took);
    }
    offset_ = offset(now) + (took - sent.predicted - offset(now)) / offsetSmoothing;
    offset_ = std::clamp(offset_, Duration {}, maxOffset);
    offsetAt_ = now;
    const Duration error = std::chrono::abs(took - sent.facts.predictedFirstToken);
    predictionError_ += (error - predictionError_) / offsetSmoothing;
}

ServerLoad Backend::ownLoad() const { return { load_.inFlight(), unread_, memory_ }; }

void Backend::subtractUnread(const SentAttempt& sent)
{
    if (!sent.answered) {
        unread_ -= sent.uncached;
    }
}

bool Backend::onTurnedAway(Instant at)
{
    if (turnedAwayAt_ && at <= *turnedAwayAt_) {
        return false;
    }
    turnedAwayAt_ = at;
    room_.onTurnedAway(load_.inFlight(), at, load_.serviceTime());
    return true;
}

void Backend::forgetFailures()
{
    breaker_.forget();
    answers_ = true;
}

// Running requests share an engine's memory: what doesn't fit in is turned away although slots are free.
std::uint32_t Backend::places() const
{
    const auto fitting = entry_.memory ? requests_->memoryNeed.requestsIn(*entry_.memory) : std::nullopt;
    return std::min(load_.slots(), fitting.value_or(UINT32_MAX));
}

RoomFacts Backend::room(Instant now) const
{
    RoomFacts facts;
    facts.part = room_.part();
    facts.level = room_.allowed(now);
    facts.held = room_.held(now);
    facts.memory = memory_;
    facts.serverMemory = entry_.memory;
    return facts;
}

std::optional<EndedAttempt> Backend::onFinished(AttemptId attempt, const FinishFacts& facts, Instant now)
{
    const auto found = sent_.find(attempt);
    if (found == sent_.end()) {
        return std::nullopt;
    }
    const SentAttempt sent = found->second;
    subtractUnread(sent);
    memory_ -= sent.facts.memory;
    if (facts.pace) {
        pace_ = pace_ ? (*pace_ + *facts.pace) / 2 : *facts.pace;
    }
    sent_.erase(found);
    const bool completed = facts.kind == EndKind::Completed;
    if (const auto took = load_.onFinished(attempt, completed, now); took && completed) {
        requests_->runTimes.add(*took);
    }
    if (facts.announcement) {
        heardAt_ = now;
    }
    if (facts.kind == EndKind::Completed && facts.promptTokens > Tokens {}) {
        cache_.onAnswer(sent.facts.prefixHash, facts.promptTokens, facts.cachedPromptTokens);
    }
    if (facts.kind == EndKind::NotStarted) {
        room_.onOwnRefused(sent.place, load_.inFlight(), now, load_.serviceTime());
    }
    const bool serverEndedIt = facts.kind != EndKind::Cancelled && facts.kind != EndKind::Broken;
    if (!serverEndedIt && facts.arrived) {
        room_.onLeftBehind(expectedEnd(sent), now);
    }
    processEnd(attempt, facts, now);
    return EndedAttempt { sent.at, sent.place, sent.facts.memory };
}

// A server may go on with a request that has ended for this router only: it notices late that the caller has left, or
// not at all. It ends it when it would have answered, or at the time that it was told.
Instant Backend::expectedEnd(const SentAttempt& sent) const
{
    const Duration run = requests_->runTimes.longest().value_or(assumedLongestRun);
    const Duration longest = run + run / longestRunMargin;
    return sent.at + std::min(longest, sent.facts.timeLeft.value_or(longest));
}

void Backend::processEnd(AttemptId attempt, const FinishFacts& facts, Instant now)
{
    switch (facts.kind) {
    case EndKind::Completed:
        answers_ = true;
        breaker_.onSuccess(now);
        break;
    case EndKind::Failed:
        answers_ = true;
        breaker_.onFailure(attempt, now);
        break;
    case EndKind::Leaving:
        breaker_.onInconclusiveEnd(attempt);
        onLeaving(now);
        break;
    case EndKind::Broken:
        answers_ = false;
        breaker_.onFailure(attempt, now);
        break;
    case EndKind::Cancelled:
        breaker_.onInconclusiveEnd(attempt);
        break;
    case EndKind::NotStarted:
        pausedUntil_ = now + settings_.fullPause;
        // A full backend server has not failed: breakers that open under overload would reduce the remaining capacity.
        // But a backend server that doesn't answer polls either has refused the connection rather than the request.
        if (lastPollFailed_ || (settings_.polled && !reported_)) {
            breaker_.onFailure(attempt, now);
        }
        breaker_.onInconclusiveEnd(attempt);
        break;
    }
}

BackendState Backend::state(Instant now) const
{
    if (leaving_) {
        return BackendState::Leaving;
    }
    if (entry_.evacuated) {
        return BackendState::Evacuated;
    }
    if (breaker_.mayProbe(now) || (breaker_.openUntil() && breaker_.probing())) {
        return BackendState::Probing;
    }
    if (breaker_.open(now)) {
        return BackendState::Broken;
    }
    if (arrivals_.isLimited(LimitCause::Cold, now)) {
        return BackendState::Cold;
    }
    if (arrivals_.isLimited(LimitCause::Announced, now)) {
        return BackendState::Limited;
    }
    return breaker_.slowStart(now) ? BackendState::SlowStart : BackendState::Up;
}

bool Backend::paused(Instant now) const { return pausedUntil_ && now < *pausedUntil_; }

bool Backend::mayGetRequests(Instant now) const
{
    return !leaving_ && !entry_.evacuated && !arrivals_.heldBackBy(now) && !resting(now) && !paused(now)
        && roomUse(now) != internal::RoomUse::None;
}

internal::RoomUse Backend::roomUse(Instant now) const noexcept { return room_.use(load_.inFlight(), now); }

bool Backend::isHeard(Instant now) const noexcept { return heardAt_ && now - *heardAt_ <= wordLifetime; }

bool Backend::usable(Instant now) const
{
    return mayGetRequests(now) && !breaker_.open(now) && load_.inFlight() < breaker_.allowed(load_.slots(), now);
}

bool Backend::lastResort(Instant now) const
{
    return answers_ && mayGetRequests(now) && load_.inFlight() < load_.slots();
}

std::optional<Instant> Backend::usableAt(Instant now) const
{
    if (leaving_ || entry_.evacuated) {
        return std::nullopt;
    }
    Instant at = std::max({ arrivals_.freeAt(now), restUntil_, room_.freeAt(load_.inFlight(), now) });
    if (pausedUntil_) {
        at = std::max(at, *pausedUntil_);
    }
    if (breaker_.openUntil()) {
        at = std::max(at, *breaker_.openUntil());
    }
    return at;
}

Duration Backend::predict(Tokens uncached, Instant now) const
{
    const LoadNow load = load_.now(now);
    const Duration queue = load_.serviceTime() * load.waiting / load_.slots();
    return load_.step() + queue + prefill_->cost(uncached);
}

Duration Backend::offset(Instant now) const
{
    const std::int64_t halvings = std::min((now - offsetAt_) / offsetHalfLife, maxHalvings);
    return offset_ / (std::int64_t { 1 } << halvings);
}

BackendView Backend::view(const ViewRequest& request, Instant now) const
{
    const LoadNow load = load_.now(now);
    BackendView view;
    view.backend = entry_.backend;
    view.domain = entry_.domain;
    view.version = entry_.version;
    view.state = state(now);
    view.running = load.running;
    view.waiting = load.waiting;
    view.inFlight = load_.inFlight();
    view.slots = load_.slots();
    view.cachedTokens = cache_.expected(request.prefixHash, request.promptTokens);
    view.predictedFirstToken = predict(request.promptTokens - view.cachedTokens, now) + offset(now);
    view.unread = prefill_->cost(unread_);
    view.sharedPart = prefill_->cost(request.sharedTokens);
    view.predictionError = predictionError_;
    view.usable = usable(now);
    view.lastResort = lastResort(now);
    view.probe = breaker_.mayProbe(now);
    view.usableAt = usableAt(now);
    view.reportAge = load_.reportAge(now);
    const internal::RoomUse room = roomUse(now);
    view.heldBackBy = arrivals_.heldBackBy(now);
    if (!view.heldBackBy && room == internal::RoomUse::None && !breaker_.open(now)) {
        view.heldBackBy = LimitCause::Brittle;
    }
    view.roomUncertain = room == internal::RoomUse::Trial;
    view.resting = resting(now);
    view.announcedLimit = announcedLimit_;
    view.limitUnconfirmed = announcedLimit_ && now - limitStatedAt_ > settings_.limitConfirmation;
    view.own = ownLoad();
    view.key = key_;
    view.nameHash = nameHash_;
    view.step = load_.step();
    view.runTime = load_.serviceTime();
    view.prefillPer1000 = prefill_->cost(Tokens { 1'000 });
    view.memory = entry_.memory;
    view.servesModel = request.model.empty() || !reported_ || models_.contains(request.model);
    return view;
}

} // namespace swiftlift::routing
