#include "routing/Selectors.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace swiftlift::routing {

namespace {

    using namespace std::chrono_literals;

    // Cost of a full batch in addition to the time to first token: its steps are longer, and further requests queue.
    constexpr Duration fullBatchCost = 2ms;
    constexpr std::size_t sampleSize = 2;

    [[nodiscard]] Duration score(const BackendView& view)
    {
        return view.predictedFirstToken + fullBatchCost * view.running / std::max<std::uint32_t>(view.slots, 1);
    }

    [[nodiscard]] double load(const BackendView& view)
    {
        return static_cast<double>(view.running + view.waiting) / std::max<std::uint32_t>(view.slots, 1);
    }

    [[nodiscard]] Choice choiceOf(const BackendView& view, std::string reason)
    {
        return { view.backend, view.predictedFirstToken, std::move(reason), {}, false };
    }

    [[nodiscard]] Alternative alternativeOf(const BackendView& view)
    {
        return { view.backend, view.predictedFirstToken, view.cachedTokens, view.running, view.waiting };
    }

} // namespace

void AffinitySelector::addToSample(std::vector<const BackendView*> from, std::vector<const BackendView*>& sample)
{
    for (std::size_t i = 0; i < sampleSize && !from.empty(); ++i) {
        const std::size_t index = random()() % from.size();
        if (std::find(sample.begin(), sample.end(), from[index]) == sample.end()) {
            sample.push_back(from[index]);
        }
        from.erase(from.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

// All routers get the same delayed load reports. If each selected the best of all backend servers, all routers would
// select the same one until the next report; random samples make their choices differ.
Choice AffinitySelector::pick(const SelectRequest& /*request*/, const std::vector<BackendView>& candidates)
{
    std::vector<const BackendView*> all;
    std::vector<const BackendView*> cachingBackends;
    for (const BackendView& view : candidates) {
        all.push_back(&view);
        if (view.cachedTokens > Tokens {}) {
            cachingBackends.push_back(&view);
        }
    }
    std::vector<const BackendView*> sample;
    addToSample(std::move(all), sample);
    addToSample(std::move(cachingBackends), sample);
    const BackendView* best = *std::min_element(sample.begin(), sample.end(),
        [](const BackendView* left, const BackendView* right) { return score(*left) < score(*right); });
    const char* reason = sample.size() == 1 ? "only candidate" : "best of a sample";
    Choice choice = choiceOf(*best, best->cachedTokens > Tokens {} ? "prefix cached" : reason);
    for (const BackendView* view : sample) {
        if (view != best) {
            choice.alternatives.push_back(alternativeOf(*view));
        }
    }
    return choice;
}

Choice RandomSelector::pick(const SelectRequest& /*request*/, const std::vector<BackendView>& candidates)
{
    return choiceOf(candidates[random()() % candidates.size()], "at random");
}

Choice RoundRobinSelector::pick(const SelectRequest& /*request*/, const std::vector<BackendView>& candidates)
{
    // Begins at a random index: routers that started together would otherwise all begin with the same backend server.
    if (last_ == BackendId {}) {
        last_ = candidates[random()() % candidates.size()].backend;
    }
    const auto next = std::find_if(
        candidates.begin(), candidates.end(), [this](const BackendView& view) { return view.backend > last_; });
    const BackendView& view = next == candidates.end() ? candidates.front() : *next;
    last_ = view.backend;
    return choiceOf(view, "in turn");
}

Choice LeastLoadSelector::pick(const SelectRequest& /*request*/, const std::vector<BackendView>& candidates)
{
    const auto least = std::min_element(candidates.begin(), candidates.end(),
        [](const BackendView& left, const BackendView& right) { return load(left) < load(right); });
    return choiceOf(*least, "least load");
}

} // namespace swiftlift::routing
