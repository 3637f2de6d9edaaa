#include "routing/EngineModel.h"

#include <algorithm>

namespace swiftlift::routing::test {

namespace {

    constexpr double prefillTokensPerMicrosecond = 0.066;
    /** Prompt tokens that are prefilled between two steps. */
    constexpr Tokens maxChunk { 1'024 };

} // namespace

Tokens EngineModel::memoryOf(const EngineRequest& request) const
{
    return request.prompt + Tokens { request.events * settings_.tokensPerEvent };
}

bool EngineModel::offer(const EngineRequest& request, Instant now)
{
    if (waiting_.size() >= settings_.queue) {
        return false;
    }
    held_ += memoryOf(request);
    waiting_.push_back(request);
    if (!stepping_) {
        beginStep(now);
    }
    return true;
}

void EngineModel::advance(Instant now, std::vector<EngineEvent>& events)
{
    while (stepping_ && stepEnd_ <= now) {
        const Instant end = stepEnd_;
        endStep(end, events);
        beginStep(end);
    }
}

void EngineModel::admit()
{
    while (!waiting_.empty() && running_.size() < settings_.slots) {
        EngineRequest request = waiting_.front();
        waiting_.pop_front();
        const auto known = std::find_if(
            cached_.begin(), cached_.end(), [&](const auto& entry) { return entry.first == request.prefix; });
        const bool isCached = known != cached_.end();
        request.unread = request.prompt - (isCached ? request.shared : Tokens {});
        prefilledShared_ += isCached || request.prefix == 0 ? Tokens {} : request.shared;
        running_.push_back(request);
    }
}

void EngineModel::beginStep(Instant now)
{
    admit();
    stepping_ = !running_.empty();
    const auto next = std::find_if(
        running_.begin(), running_.end(), [](const auto& request) { return request.unread > Tokens {}; });
    prefilling_ = next == running_.end() ? nullptr : &*next;
    chunk_ = prefilling_ == nullptr ? Tokens {} : std::min(prefilling_->unread, maxChunk);
    const double prefill = static_cast<double>(chunk_.value()) / prefillTokensPerMicrosecond;
    const double duration = (static_cast<double>(settings_.step.count()) + prefill) / settings_.speed;
    stepEnd_ = now + Duration { static_cast<Duration::rep>(duration) };
}

void EngineModel::endStep(Instant now, std::vector<EngineEvent>& events)
{
    for (auto request = running_.begin(); request != running_.end();) {
        if (request->unread > Tokens {}) {
            ++request;
            continue;
        }
        ++request->produced;
        if (request->produced == settings_.tokensPerEvent) {
            request->firstEventAt = now;
            events.push_back({ request->id, false, {} });
        }
        if (request->produced < settings_.tokensPerEvent * request->events) {
            ++request;
            continue;
        }
        const Duration pace = request->events > 1 ? (now - request->firstEventAt) / (request->events - 1) : Duration {};
        events.push_back({ request->id, true, pace });
        held_ -= memoryOf(*request);
        request = running_.erase(request);
    }
    if (prefilling_ != nullptr) {
        prefilling_->unread -= chunk_;
        if (prefilling_->unread == Tokens {}) {
            cache(*prefilling_);
        }
    }
}

void EngineModel::cache(const EngineRequest& request)
{
    if (request.prefix == 0) {
        return;
    }
    const auto known = std::find_if(
        cached_.begin(), cached_.end(), [&](const auto& entry) { return entry.first == request.prefix; });
    if (known != cached_.end()) {
        cached_.splice(cached_.end(), cached_, known);
    } else {
        cached_.emplace_back(request.prefix, request.shared);
        cachedTokens_ += request.shared;
    }
    while (!cached_.empty() && cachedTokens_ + held_ > settings_.memory) {
        cachedTokens_ -= cached_.front().second;
        cached_.pop_front();
    }
}

std::vector<std::uint64_t> EngineModel::crash()
{
    std::vector<std::uint64_t> lost;
    for (const EngineRequest& request : waiting_) {
        lost.push_back(request.id);
    }
    for (const EngineRequest& request : running_) {
        lost.push_back(request.id);
    }
    const Tokens prefilled = prefilledShared_;
    *this = EngineModel(settings_);
    prefilledShared_ = prefilled;
    return lost;
}

} // namespace swiftlift::routing::test
