#include "routing/RendezvousSelector.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <utility>

namespace swiftlift::routing {

namespace {

    /** An engine may always have this many in flight from one router: below it, the mean says little. */
    constexpr std::uint32_t leastBound = 4;
    /** Beyond it, an engine may have this multiple of the mean; 1.25 to 2 are usual for bounded loads. */
    constexpr std::uint32_t boundFactor = 2;

    /** From here on, reading a shared prefix anew costs more than going to another failure domain: 20 ms at 100 tokens
     * a ms, against 1 to 3 ms there and back and the bytes in between. */
    constexpr Tokens longPrefix { 2'000 };

    /** A second home has to be quicker by this much: a few steps of an engine, so that homes don't change for nothing.
     */
    constexpr Duration leastGain = std::chrono::milliseconds(10);

    /** Finalizer of SplitMix64: every bit of the input moves every bit of the result. */
    [[nodiscard]] std::uint64_t mix(std::uint64_t value) noexcept
    {
        value += 0x9E3779B97F4A7C15U;
        value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9U;
        value = (value ^ (value >> 27U)) * 0x94D049BB133111EBU;
        return value ^ (value >> 31U);
    }

    /** FNV-1a: the same on every router, whatever its library's own hash is. */
    [[nodiscard]] std::uint64_t hashOf(const std::string& text) noexcept
    {
        std::uint64_t hash = 0xCBF29CE484222325U;
        for (const char letter : text) {
            hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001B3U;
        }
        return hash;
    }

    [[nodiscard]] Choice choiceOf(const BackendView& view, std::string reason)
    {
        return { view.backend, view.predictedFirstToken, std::move(reason), {}, false };
    }

} // namespace

bool RendezvousSelector::spansDomains(const SelectRequest& request) const
{
    return request.prefixHash != 0 && request.sharedTokens >= longPrefix;
}

Choice RendezvousSelector::pick(const SelectRequest& request, const std::vector<BackendView>& candidates)
{
    if (request.prefixHash == 0) {
        return leastLoaded(candidates);
    }
    std::uint32_t inFlight = 0;
    for (const BackendView& view : candidates) {
        inFlight += view.inFlight;
    }
    const auto count = static_cast<std::uint32_t>(candidates.size());
    const std::uint32_t bound = std::max(leastBound, boundFactor * (inFlight + count) / count);
    const Ranked ranked = rank(request, candidates, bound);
    if (ranked.first == nullptr) {
        return leastLoaded(candidates);
    }
    if (ranked.second != nullptr && quicker(*ranked.second, *ranked.first)) {
        Choice choice = choiceOf(*ranked.second, "second home: the first has much to read");
        choice.prefillsSharedPart = true;
        return choice;
    }
    const bool isHome = ranked.first == ranked.home;
    Choice choice = choiceOf(*ranked.first, isHome ? "home of the prefix" : "next to the prefix's busy home");
    choice.prefillsSharedPart = !isHome;
    return choice;
}

RendezvousSelector::Ranked RendezvousSelector::rank(
    const SelectRequest& request, const std::vector<BackendView>& candidates, std::uint32_t bound)
{
    Ranked ranked;
    std::uint64_t homeRank = 0;
    std::uint64_t firstRank = 0;
    std::uint64_t secondRank = 0;
    for (const BackendView& view : candidates) {
        const std::uint64_t rank = mix(request.prefixHash ^ mix(hashOf(view.backend.value())));
        if (ranked.home == nullptr || rank > homeRank) {
            ranked.home = &view;
            homeRank = rank;
        }
        if (view.inFlight >= bound) {
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

// What goes wrong otherwise: one prompt of 40,000 tokens, or a few in a row, keep an engine reading for a quarter of a
// second, and each prompt whose home it is waits behind them. One notices by first events that come later than
// predicted at homes of prefixes while other engines are quick. Reading the shared part once more is a known cost.
bool RendezvousSelector::quicker(const BackendView& second, const BackendView& first) noexcept
{
    return second.unread + second.sharedPart + leastGain < first.unread;
}

Choice RendezvousSelector::leastLoaded(const std::vector<BackendView>& candidates)
{
    // Routers that start together would all begin with the first of several that are equal.
    const std::size_t start = random()() % candidates.size();
    const BackendView* best = nullptr;
    for (std::size_t step = 0; step < candidates.size(); ++step) {
        const BackendView& view = candidates[(start + step) % candidates.size()];
        const bool better = best == nullptr || view.inFlight * best->slots < best->inFlight * view.slots;
        best = better ? &view : best;
    }
    return choiceOf(*best, "least in flight");
}

} // namespace swiftlift::routing
