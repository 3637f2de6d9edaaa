#include "routing/Backend.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace swiftlift::routing {

namespace {

    using namespace std::chrono_literals;

    constexpr int offsetSmoothing = 5;
    constexpr Duration largestOffset = 2s;
    // A slow backend server gets no requests, so nothing would show that it is quick again; the offset fades by itself.
    constexpr Duration offsetHalfLife = 5s;
    constexpr std::int64_t longestFade = 20;

} // namespace

Backend::Backend(BackendEntry entry, const TableSettings& settings, PrefillModel& prefill, PrefixLengths& lengths,
    std::uint64_t seed)
    : entry_(std::move(entry))
    , settings_(settings)
    , prefill_(&prefill)
    , load_(settings, entry_.slots)
    , cache_(settings.prefixesKept, lengths)
    , breaker_(settings, seed)
{
}

// What goes wrong: a server that starts again under its id has an empty cache, closed connections and counts that start
// anew. Judged by its former life it would get prompts for prefixes that it no longer has, wait out a breaker that its
// crash opened, or be left alone since it once said that it was leaving.
void Backend::setEntry(const BackendEntry& entry, Instant now)
{
    entry_.domain = entry.domain;
    const bool newInstance = entry.instance > entry_.instance && entry_.instance != 0;
    entry_.instance = std::max(entry_.instance, entry.instance);
    if (!newInstance) {
        return;
    }
    entry_.slots = entry.slots;
    load_ = LoadEstimate(settings_, entry.slots);
    sent_.clear();
    unread_ = Tokens {};
    generation_.reset();
    reported_ = false;
    missed_ = false;
    answers_ = true;
    startAnew(now);
}

void Backend::onLoad(const LoadReport& report, Instant now)
{
    if (generation_ && report.generation < *generation_) {
        return;
    }
    if (generation_ && report.generation > *generation_) {
        startAnew(now);
    }
    generation_ = report.generation;
    if (std::exchange(missed_, false)) {
        breaker_.hasten(now);
    }
    reported_ = true;
    models_ = { report.models.begin(), report.models.end() };
    load_.onReport(report, now);
    noteLeaving(report, now);
}

void Backend::startAnew(Instant now)
{
    leaving_.reset();
    cache_.clear();
    load_.restart();
    breaker_.restart(now);
    pausedUntil_.reset();
    offset_ = {};
}

// A report shows the past: one from before the backend server said that it is leaving must not bring it back. Only a
// new start does, or reports that go on to deny it for a long while.
void Backend::noteLeaving(const LoadReport& report, Instant now)
{
    if (report.leaving) {
        leaving_ = Leaving { now, report.generation };
        return;
    }
    if (leaving_ && !leaving_->generation) {
        leaving_->generation = report.generation;
    }
    if (leaving_ && now - leaving_->lastSign > settings_.leavingHold) {
        startAnew(now);
    }
}

void Backend::onLeaving(Instant now) { leaving_ = Leaving { now, generation_ }; }

void Backend::onLoadMissed(Instant now)
{
    missed_ = true;
    answers_ = false;
    breaker_.onFailure(std::nullopt, now);
}

void Backend::onDispatched(AttemptId attempt, const DispatchFacts& facts, Instant now)
{
    const Tokens uncached = facts.promptTokens - cache_.expected(facts.prefixHash, facts.promptTokens);
    sent_[attempt] = Sent { facts, now, uncached, predict(uncached, now), load_.now(now).waiting > 0 };
    unread_ += uncached;
    load_.onDispatched(attempt, now);
    breaker_.onDispatched(attempt, now);
}

void Backend::onFirstToken(AttemptId attempt, Instant now)
{
    const auto found = sent_.find(attempt);
    if (found == sent_.end() || found->second.answered) {
        return;
    }
    Sent& sent = found->second;
    noteRead(sent);
    sent.answered = true;
    breaker_.onSuccess(now);
    const Duration took = now - sent.at;
    if (!sent.waited) {
        prefill_->add(sent.uncached, took);
    }
    offset_ = offset(now) + (took - sent.predicted - offset(now)) / offsetSmoothing;
    offset_ = std::clamp(offset_, Duration {}, largestOffset);
    offsetAt_ = now;
    const Duration error = std::chrono::abs(took - sent.facts.predictedFirstToken);
    predictionError_ += (error - predictionError_) / offsetSmoothing;
}

void Backend::noteRead(const Sent& sent)
{
    if (!sent.answered) {
        unread_ -= sent.uncached;
    }
}

void Backend::onFinished(AttemptId attempt, const FinishFacts& facts, Instant now)
{
    const auto found = sent_.find(attempt);
    if (found == sent_.end()) {
        return;
    }
    const Sent sent = found->second;
    noteRead(sent);
    sent_.erase(found);
    (void)load_.onFinished(attempt, facts.kind == EndKind::Completed, now);
    if (facts.kind == EndKind::Completed && facts.promptTokens > Tokens {}) {
        cache_.onAnswer(sent.facts.prefixHash, facts.promptTokens, facts.cachedPromptTokens);
    }
    noteEnd(attempt, facts, now);
}

void Backend::noteEnd(AttemptId attempt, const FinishFacts& facts, Instant now)
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
        breaker_.onNothingLearnt(attempt);
        onLeaving(now);
        break;
    case EndKind::Broken:
        answers_ = false;
        breaker_.onFailure(attempt, now);
        break;
    case EndKind::Cancelled:
        breaker_.onNothingLearnt(attempt);
        break;
    case EndKind::NotStarted:
        pausedUntil_ = now + settings_.fullPause;
        // "Full" is not a fault: breakers that open under overload would shrink what is left. But one that doesn't
        // answer its polls either refused the connection, not the request.
        if (missed_ || (settings_.polled && !reported_)) {
            breaker_.onFailure(attempt, now);
        }
        breaker_.onNothingLearnt(attempt);
        break;
    }
}

BackendState Backend::state(Instant now) const
{
    if (leaving_) {
        return BackendState::Leaving;
    }
    if (breaker_.mayProbe(now) || (breaker_.openUntil() && breaker_.probing())) {
        return BackendState::Probing;
    }
    if (breaker_.open(now)) {
        return BackendState::Broken;
    }
    return breaker_.slowStart(now) ? BackendState::SlowStart : BackendState::Up;
}

bool Backend::paused(Instant now) const { return pausedUntil_ && now < *pausedUntil_; }

bool Backend::usable(Instant now) const
{
    if (leaving_ || paused(now) || breaker_.open(now)) {
        return false;
    }
    return load_.inFlight() < breaker_.allowed(load_.slots(), now);
}

bool Backend::lastResort(Instant now) const
{
    return answers_ && !leaving_ && !paused(now) && load_.inFlight() < load_.slots();
}

std::optional<Instant> Backend::usableAt(Instant now) const
{
    if (leaving_) {
        return std::nullopt;
    }
    Instant at = now;
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
    const Duration queue = load_.hold() * load.waiting / load_.slots();
    return load_.step() + queue + prefill_->cost(uncached);
}

Duration Backend::offset(Instant now) const
{
    const std::int64_t halvings = std::min((now - offsetAt_) / offsetHalfLife, longestFade);
    return offset_ / (std::int64_t { 1 } << halvings);
}

BackendView Backend::view(const ViewRequest& request, Instant now) const
{
    const LoadNow load = load_.now(now);
    BackendView view;
    view.backend = entry_.backend;
    view.domain = entry_.domain;
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
    view.servesModel = request.model.empty() || !reported_ || models_.contains(request.model);
    return view;
}

} // namespace swiftlift::routing
