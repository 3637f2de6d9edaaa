#include "placement/Engine.h"

#include <algorithm>

namespace swiftlift::placement {

void Engine::onReport(const EngineReport& report, Instant now)
{
    const bool restarted = hasReported_ && report.generation != last_.generation;
    last_ = report;
    reportedAt_ = now;
    reported_ = { report.models.begin(), report.models.end() };
    if (!hasReported_ || restarted) {
        for (const auto& model : reported_) {
            // When the model was loaded is unknown. Its minimum residence counts as over, so that a new holder of the
            // order lease can make room at once.
            addDesired(model, now - settings_->minResidence);
        }
    }
    if (restarted) {
        for (auto& [model, order] : pending_) {
            order.lastSent.reset();
        }
    }
    hasReported_ = true;
    eraseCarriedOut();
}

void Engine::eraseCarriedOut()
{
    std::erase_if(pending_, [&](const auto& entry) {
        const bool shouldReport = entry.second.kind == OrderKind::LoadModel;
        return reports(entry.first) == shouldReport;
    });
}

void Engine::onAnswer(bool accepted)
{
    if (const auto found = pending_.find(lastOrderedModel_); found != pending_.end()) {
        found->second.failures = accepted ? 0 : found->second.failures + 1;
    }
}

void Engine::load(const std::string& model, Urgency urgency, OrderReason reason, Instant now)
{
    desired_.try_emplace(model, now);
    pending_[model] = { OrderKind::LoadModel, urgency, reason, now, std::nullopt, 0 };
}

void Engine::unload(const std::string& model, Urgency urgency, OrderReason reason, Instant now)
{
    desired_.erase(model);
    pending_[model] = { OrderKind::UnloadModel, urgency, reason, now, std::nullopt, 0 };
}

bool Engine::shouldAbandon(const PendingOrder& order, Instant now) const
{
    const bool timedOut = now >= order.since + settings_->loadTimeout;
    const bool tooManyFailures = order.failures >= settings_->maxFailures;
    // An unsent reload of a missing model stays pending until the load limits admit it. Any other unsent load is
    // dropped after the timeout; the planner orders it again if the model is still needed.
    const bool isUnsentReload = !order.lastSent && order.reason == OrderReason::Missing;
    return order.kind == OrderKind::LoadModel && (tooManyFailures || (timedOut && !isUnsentReload));
}

void Engine::abandonLoads(Instant now)
{
    std::erase_if(pausedUntil_, [&](const auto& entry) { return entry.second <= now; });
    std::erase_if(pending_, [&](const auto& entry) {
        const auto& [model, order] = entry;
        if (!shouldAbandon(order, now)) {
            return false;
        }
        desired_.erase(model);
        if (order.lastSent) {
            pausedUntil_[model] = now + settings_->enginePause;
        }
        return true;
    });
}

void Engine::cancel(const std::string& model, Instant now)
{
    pending_.erase(model);
    addDesired(model, now);
    // Unsent loads that were to use the room of the unloaded model have none now. They are dropped, so that the
    // planner can place them on another engine.
    std::erase_if(pending_, [&](const auto& entry) {
        const auto& [other, order] = entry;
        const bool waitsForRoom
            = order.kind == OrderKind::LoadModel && !order.lastSent && order.reason != OrderReason::Missing;
        if (waitsForRoom) {
            desired_.erase(other);
        }
        return waitsForRoom;
    });
}

void Engine::makeUrgent(const std::string& model)
{
    if (const auto found = pending_.find(model); found != pending_.end()) {
        found->second.urgency = Urgency::Urgent;
    }
}

void Engine::onSent(const std::string& model, Instant now)
{
    pending_[model].lastSent = now;
    lastOrderedModel_ = model;
}

bool Engine::isUsable(Instant now) const
{
    return reportedAt_ && now < *reportedAt_ + settings_->reportLifetime && !last_.leaving;
}

double Engine::utilisation() const
{
    return static_cast<double>(requests()) / static_cast<double>(std::max<std::uint32_t>(slots(), 1));
}

bool Engine::isPaused(const std::string& model, Instant now) const
{
    const auto found = pausedUntil_.find(model);
    return found != pausedUntil_.end() && now < found->second;
}

bool Engine::isResidenceOver(const std::string& model, Instant now) const
{
    const auto found = desired_.find(model);
    return found != desired_.end() && reports(model) && now >= found->second + settings_->minResidence;
}

std::uint32_t Engine::sentLoads() const
{
    return static_cast<std::uint32_t>(std::count_if(pending_.begin(), pending_.end(),
        [](const auto& entry) { return entry.second.kind == OrderKind::LoadModel && entry.second.lastSent; }));
}

bool Engine::isDue(const PendingOrder& order, Instant now) const
{
    return !order.lastSent || now >= *order.lastSent + settings_->resendPeriod;
}

} // namespace swiftlift::placement
