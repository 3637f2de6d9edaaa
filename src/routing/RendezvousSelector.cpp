#include "routing/RendezvousSelector.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

#include "swiftlift/base/RendezvousHash.h"

namespace swiftlift::routing {

namespace {

    /** Requests that an engine may always have in flight from one router: with fewer, the mean says little. */
    constexpr std::uint32_t minInFlightBound = 4;
    /** Multiple of the mean that an engine may have in flight; 1.25 to 2 are usual for hashing with bounded loads. */
    constexpr std::uint32_t inFlightFactor = 2;

    /** From this length on, prefilling a shared prefix again costs more than going to another failure domain: 20 ms at
     * 100 tokens per ms, against a round trip of 1 to 3 ms and the cost of the transferred bytes. */
    constexpr Tokens minLongPrefix { 2'000 };

    /** Minimum gain for which a second home is used: a few engine steps, so that homes don't change without need. */
    constexpr Duration minGain = std::chrono::milliseconds(10);

    [[nodiscard]] Choice choiceOf(const BackendView& view, std::string reason)
    {
        return { view.backend, view.predictedFirstToken, std::move(reason), {}, false };
    }

} // namespace

bool RendezvousSelector::spansDomains(const SelectRequest& request) const
{
    return request.prefixHash != 0 && request.sharedTokens >= minLongPrefix;
}

Choice RendezvousSelector::pick(const SelectRequest& request, const std::vector<BackendView>& candidates)
{
    if (request.prefixHash == 0) {
        return pickLeastInFlight(candidates);
    }
    std::uint32_t inFlight = 0;
    for (const BackendView& view : candidates) {
        inFlight += view.inFlight;
    }
    const auto count = static_cast<std::uint32_t>(candidates.size());
    const std::uint32_t maxInFlight = std::max(minInFlightBound, inFlightFactor * (inFlight + count) / count);
    const Ranked ranked = rank(request, candidates, maxInFlight);
    if (ranked.first == nullptr) {
        return pickLeastInFlight(candidates);
    }
    if (ranked.second != nullptr && isFaster(*ranked.second, *ranked.first)) {
        Choice choice = choiceOf(*ranked.second, "second home: the first has long prompts to prefill");
        choice.prefillsSharedPart = true;
        return choice;
    }
    const bool isHome = ranked.first == ranked.home;
    Choice choice
        = choiceOf(*ranked.first, isHome ? "home of the prefix" : "next in the prefix's order: its home is busy");
    choice.prefillsSharedPart = !isHome;
    return choice;
}

RendezvousSelector::Ranked RendezvousSelector::rank(
    const SelectRequest& request, const std::vector<BackendView>& candidates, std::uint32_t maxInFlight)
{
    Ranked ranked;
    std::uint64_t homeRank = 0;
    std::uint64_t firstRank = 0;
    std::uint64_t secondRank = 0;
    for (const BackendView& view : candidates) {
        const std::uint64_t rank = rendezvousRank(request.prefixHash, view.nameHash);
        if (ranked.home == nullptr || rank > homeRank) {
            ranked.home = &view;
            homeRank = rank;
        }
        if (view.inFlight >= maxInFlight) {
            continue;
        }
        if (ranked.first == nullptr || rank > firstRank) {
            ranked.second = ranked.first;
            secondRank = firstRank;
            ranked.first = &view;
            firstRank = rank;
        } else if (ranked.second == nullptr || rank > secondRank) {
            ranked.second = &view;
            secondRank = rank;
        }
    }
    return ranked;
}

// One prompt of 40,000 tokens, or a few in a row, occupy an engine with prefill for a quarter of a second, and all
// prompts whose home the engine is wait behind them: first tokens then come later than predicted at homes of prefixes
// while other engines are fast. Prefilling the shared part once more elsewhere has a known cost, which is compared
// here.
bool RendezvousSelector::isFaster(const BackendView& second, const BackendView& first) noexcept
{
    return second.unread + second.sharedPart + minGain < first.unread;
}

Choice RendezvousSelector::pickLeastInFlight(const std::vector<BackendView>& candidates)
{
    // Begins at a random place: routers that started together would otherwise all select the first of several equals.
    const std::size_t start = random()() % candidates.size();
    const BackendView* best = nullptr;
    for (std::size_t step = 0; step < candidates.size(); ++step) {
        const BackendView& view = candidates[(start + step) % candidates.size()];
        const bool better = best == nullptr
            || std::uint64_t { view.inFlight } * best->slots < std::uint64_t { best->inFlight } * view.slots;
        best = better ? &view : best;
    }
    return choiceOf(*best, "least in flight");
}

} // namespace swiftlift::routing
