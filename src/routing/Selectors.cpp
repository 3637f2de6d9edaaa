#include "routing/Selectors.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace swiftlift::routing {

namespace {

    using namespace std::chrono_literals;

    // What a full batch is taken to cost beside the first token: its steps are longer, and it queues next.
    constexpr Duration fullBatchCost = 2ms;
    constexpr std::size_t drawn = 2;

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

void AffinitySelector::draw(std::vector<const BackendView*> from, std::vector<const BackendView*>& sample)
{
    for (std::size_t i = 0; i < drawn && !from.empty(); ++i) {
        const std::size_t place = random()() % from.size();
        if (std::find(sample.begin(), sample.end(), from[place]) == sample.end()) {
            sample.push_back(from[place]);
        }
        from.erase(from.begin() + static_cast<std::ptrdiff_t>(place));
    }
}

// All routers see the same late reports. If each took the best of all, all would take the same one until the next
// report, and then the next; the sample makes them differ.
Choice AffinitySelector::pick(const SelectRequest& /*request*/, const std::vector<BackendView>& candidates)
{
    std::vector<const BackendView*> all;
    std::vector<const BackendView*> holders;
    for (const BackendView& view : candidates) {
        all.push_back(&view);
        if (view.cachedTokens > Tokens {}) {
            holders.push_back(&view);
        }
    }
    std::vector<const BackendView*> sample;
    draw(std::move(all), sample);
    draw(std::move(holders), sample);
    const BackendView* best = *std::min_element(sample.begin(), sample.end(),
        [](const BackendView* left, const BackendView* right) { return score(*left) < score(*right); });
    const char* reason = sample.size() == 1 ? "the only one" : "best of a sample";
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
    // Routers that started together would all begin with the same one.
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
