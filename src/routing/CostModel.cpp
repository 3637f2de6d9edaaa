#include "routing/CostModel.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <utility>

namespace swiftlift::routing::internal {

namespace {

    using namespace std::chrono_literals;

    /** Speeds beyond these are taken for errors of measurement. */
    constexpr double minSpeed = 0.25;
    constexpr double maxSpeed = 4;
    /** Time for which a median is used: paces change slowly, and a median takes a pass over all servers. */
    constexpr Duration medianLifetime = 1s;
    /** Differences below this part are taken for effects of the load: prompts that are prefilled slow streams down. */
    constexpr double speedTolerance = 0.5;
    constexpr double prefillUnit = 1'000;
    /** Of the prompts without a first event, about half has been prefilled when the figure is used. */
    constexpr double unreadPart = 0.5;
    /** Typical age of what a view shows. A queue of short requests is gone by then, and a new one somewhere else. */
    constexpr Duration viewAge = 300ms;
    /** Added where nothing of the prefix is cached: for a small gain a prefix is not prefilled again. */
    constexpr Duration uncachedMargin = 20ms;

    [[nodiscard]] std::optional<Duration> medianPace(const std::vector<BackendView>& servers)
    {
        std::vector<Duration> paces;
        for (const BackendView& view : servers) {
            if (view.pace) {
                paces.push_back(*view.pace);
            }
        }
        if (paces.empty()) {
            return std::nullopt;
        }
        const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
        std::nth_element(paces.begin(), middle, paces.end());
        return *middle;
    }

    [[nodiscard]] Duration scale(Duration duration, double factor)
    {
        return Duration { static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor) };
    }

    [[nodiscard]] Duration prefillTime(const BackendView& view, Tokens tokens, double speed)
    {
        return scale(view.prefillPer1000, static_cast<double>(tokens.value()) / prefillUnit / speed);
    }

} // namespace

CostModel::CostModel(FailureDomain domain, Duration crossDomain, CostTerms terms)
    : domain_(std::move(domain))
    , crossDomain_(crossDomain)
    , terms_(terms)
{
}

void CostModel::observe(const ServiceName& service, const std::vector<BackendView>& servers, Instant now)
{
    const auto [pace, isNew] = paces_.try_emplace(service);
    if (isNew || now - pace->second.at >= medianLifetime) {
        pace->second = { medianPace(servers), now };
    }
}

double CostModel::speedOf(const ServiceName& service, const BackendView& view) const
{
    const auto median = paces_.find(service);
    if (!terms_.speed || !view.pace || *view.pace <= Duration {} || median == paces_.end() || !median->second.value) {
        return 1;
    }
    const auto paceCount = static_cast<double>(view.pace->count());
    const double speed = static_cast<double>(median->second.value->count()) / paceCount;
    return std::abs(speed - 1) < speedTolerance ? 1 : std::clamp(speed, minSpeed, maxSpeed);
}

ExpectedCost CostModel::costOf(const SelectRequest& request, const BackendView& view, const CachedPart& cached) const
{
    const double speed = speedOf(request.service, view);
    const std::uint32_t slots = std::max<std::uint32_t>(view.slots, 1);
    const std::uint32_t requests = view.own.inProgress + view.peers->load.inProgress;
    ExpectedCost cost;
    cost.step = view.step;
    cost.crossing = view.domain == domain_ ? Duration {} : crossDomain_;
    cost.cached = cached.tokens;
    cost.cachedAge = cached.age;
    cost.sharedPrefill = prefillTime(view, request.sharedTokens, speed);
    if (terms_.queue && requests >= slots) {
        const Duration runTime = scale(view.runTime, 1 / speed);
        const double stillThere
            = static_cast<double>(runTime.count()) / static_cast<double>((runTime + viewAge).count());
        cost.queue = scale(runTime, stillThere * (requests - slots + 1) / slots);
    }
    if (terms_.unread) {
        cost.unread = scale(prefillTime(view, view.own.unread + view.peers->load.unread, speed), unreadPart);
    }
    const Tokens uncached = request.promptTokens + request.sharedTokens - cached.tokens;
    const Duration prefill = prefillTime(view, uncached, speed);
    if (terms_.prefill) {
        cost.prefill = prefill;
    }
    if (terms_.toOthers) {
        cost.toOthers = prefill * std::min(requests, slots) / slots;
    }
    return cost;
}

Duration CostModel::rank(const SelectRequest& request, const ExpectedCost& cost) const
{
    const bool prefillsAgain = request.sharedTokens > Tokens {} && cost.cached == Tokens {};
    return cost.total() + (terms_.margin && prefillsAgain ? uncachedMargin : Duration {});
}

} // namespace swiftlift::routing::internal
