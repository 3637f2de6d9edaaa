#include "placement/Engine.h"

#include <algorithm>

namespace swiftlift::placement {

void Engine::onReport(const EngineReport& report, Instant now)
{
    const bool startedAnew = known_ && report.generation != last_.generation;
    last_ = report;
    reportedAt_ = now;
    reported_ = { report.models.begin(), report.models.end() };
    if (!known_ || startedAnew) {
        for (const auto& model : reported_) {
            // How long it has been there is not known; a new holder may not have to wait before it makes room.
            adopt(model, now - settings_->residence);
        }
    }
    if (startedAnew) {
        for (auto& [model, order] : pending_) {
            order.lastSent.reset();
        }
    }
    known_ = true;
    dropDone();
}

void Engine::dropDone()
{
    std::erase_if(pending_, [&](const auto& entry) {
        const bool wanted = entry.second.kind == OrderKind::LoadModel;
        return reports(entry.first) == wanted;
    });
}

void Engine::onAnswer(bool accepted)
{
    if (const auto found = pending_.find(lastOrdered_); found != pending_.end()) {
        found->second.failures = accepted ? 0 : found->second.failures + 1;
    }
}

void Engine::load(const std::string& model, Urgency urgency, OrderReason reason, Instant now)
{
    wished_.try_emplace(model, now);
    pending_[model] = { OrderKind::LoadModel, urgency, reason, now, std::nullopt, 0 };
}

void Engine::unload(const std::string& model, Urgency urgency, OrderReason reason, Instant now)
{
    wished_.erase(model);
    pending_[model] = { OrderKind::UnloadModel, urgency, reason, now, std::nullopt, 0 };
}

bool Engine::isOver(const PendingOrder& order, Instant now) const
{
    const bool tooLong = now >= order.since + settings_->loadPatience;
    const bool tooOften = order.failures >= settings_->failuresAllowed;
    // A repair that has to wait for its turn is still wanted; whatever else waited that long is asked for again.
    const bool waitsForItsTurn = !order.lastSent && order.reason == OrderReason::Missing;
    return order.kind == OrderKind::LoadModel && (tooOften || (tooLong && !waitsForItsTurn));
}

void Engine::giveUp(Instant now)
{
    std::erase_if(avoidUntil_, [&](const auto& entry) { return entry.second <= now; });
    std::erase_if(pending_, [&](const auto& entry) {
        const auto& [model, order] = entry;
        if (!isOver(order, now)) {
            return false;
        }
        wished_.erase(model);
        if (order.lastSent) {
            avoidUntil_[model] = now + settings_->enginePause;
        }
        return true;
    });
}

void Engine::cancel(const std::string& model, Instant now)
{
    pending_.erase(model);
    adopt(model, now);
    // The loads that were to have its room find none now: they look for another engine.
    std::erase_if(pending_, [&](const auto& entry) {
        const auto& [other, order] = entry;
        const bool waits
            = order.kind == OrderKind::LoadModel && !order.lastSent && order.reason != OrderReason::Missing;
        if (waits) {
            wished_.erase(other);
        }
        return waits;
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
    lastOrdered_ = model;
}

bool Engine::usable(Instant now) const
{
    return reportedAt_ && now < *reportedAt_ + settings_->reportLifetime && !last_.leaving;
}

double Engine::utilisation() const
{
    return static_cast<double>(requests()) / static_cast<double>(std::max<std::uint32_t>(slots(), 1));
}

bool Engine::avoids(const std::string& model, Instant now) const
{
    const auto found = avoidUntil_.find(model);
    return found != avoidUntil_.end() && now < found->second;
}

bool Engine::settled(const std::string& model, Instant now) const
{
    const auto found = wished_.find(model);
    return found != wished_.end() && reports(model) && now >= found->second + settings_->residence;
}

std::uint32_t Engine::loading() const
{
    return static_cast<std::uint32_t>(std::count_if(pending_.begin(), pending_.end(),
        [](const auto& entry) { return entry.second.kind == OrderKind::LoadModel && entry.second.lastSent; }));
}

bool Engine::due(const PendingOrder& order, Instant now) const
{
    return !order.lastSent || now >= *order.lastSent + settings_->assertAgain;
}

} // namespace swiftlift::placement
