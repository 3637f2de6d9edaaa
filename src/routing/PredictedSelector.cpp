#include "routing/PredictedSelector.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "swiftlift/base/RendezvousHash.h"

namespace swiftlift::routing {

namespace {

    using internal::CachedPart;
    using internal::PrefixHolders;

    /** @return True if the instance has started so lately that its cache may be empty. */
    [[nodiscard]] bool hasJustStarted(const BackendView& view)
    {
        return view.state == BackendState::SlowStart || view.state == BackendState::Cold;
    }

    [[nodiscard]] const PrefixHolders::Holder* findHolder(const PrefixHolders::Holders* holders, ServerKey server)
    {
        if (holders == nullptr) {
            return nullptr;
        }
        const auto found = std::find_if(holders->begin(), holders->end(),
            [&](const auto& holder) { return holder.seenAt && holder.server == server; });
        return found == holders->end() ? nullptr : &*found;
    }

} // namespace

PredictedSelector::PredictedSelector(SelectorSettings settings, internal::CostTerms terms)
    : RendezvousSelector(std::move(settings))
    , costs_(this->settings().domain, this->settings().crossDomain, terms)
{
}

Choice PredictedSelector::pick(const SelectRequest& request, const std::vector<BackendView>& candidates)
{
    // A digest covers all servers, so either all views have `peers` or none has.
    if (!candidates.front().peers) {
        return RendezvousSelector::pick(request, candidates);
    }
    costs_.observe(request.service, candidates, now());
    const Sample compared = sample(request, candidates);
    const Candidate* best = nullptr;
    ExpectedCost lowest;
    Duration lowestRank {};
    for (const Candidate& candidate : compared) {
        const ExpectedCost cost = costs_.costOf(request, *candidate.view, candidate.cached);
        const Duration rank = costs_.rank(request, cost);
        if (best == nullptr || rank < lowestRank) {
            best = &candidate;
            lowest = cost;
            lowestRank = rank;
        }
    }
    Choice choice { best->view->backend, best->view->predictedFirstToken, reasonOf(best->origin), {}, false };
    choice.prefillsSharedPart = lowest.cached.value() * 2 < request.sharedTokens.value();
    choice.expected = lowest;
    return choice;
}

PredictedSelector::Sample PredictedSelector::sample(
    const SelectRequest& request, const std::vector<BackendView>& servers)
{
    Sample sample;
    if (request.prefixHash == 0) {
        addDrawn(servers, drawnWithoutPrefix, sample);
        return sample;
    }
    addByPrefix(request, servers, sample);
    addDrawn(servers, drawnWithPrefix, sample);
    return sample;
}

void PredictedSelector::addByPrefix(
    const SelectRequest& request, const std::vector<BackendView>& servers, Sample& sample) const
{
    /** @brief A server and its rank in the prefix's order. */
    struct RankedView {
        const BackendView* view = nullptr;
        std::uint64_t rank = 0;
    };
    std::array<RankedView, inOrder> first;
    std::array<const BackendView*, PrefixHolders::maxHolders> known {};
    std::size_t knownCount = 0;
    const PrefixHolders::Holders* holders = holders_.of(request.prefixHash);
    for (const BackendView& view : servers) {
        RankedView inserted { &view, rendezvousRank(request.prefixHash, view.nameHash) };
        for (RankedView& place : first) {
            if (place.view == nullptr || inserted.rank > place.rank) {
                std::swap(place, inserted);
            }
            if (inserted.view == nullptr) {
                break;
            }
        }
        if (knownCount < known.size() && findHolder(holders, view.key) != nullptr) {
            known[knownCount] = &view;
            ++knownCount;
        }
    }
    for (const RankedView& ranked : first) {
        if (ranked.view == nullptr) {
            break;
        }
        const bool isHome = &ranked == first.data();
        Candidate candidate { ranked.view, isHome ? Origin::Home : Origin::InOrder,
            cachedAt(request, *ranked.view, holders) };
        if (isHome && !hasJustStarted(*ranked.view)) {
            candidate.cached.tokens = request.sharedTokens;
        }
        sample.add(candidate);
    }
    for (std::size_t index = 0; index < knownCount; ++index) {
        sample.add({ known[index], Origin::Holder, cachedAt(request, *known[index], holders) });
    }
}

void PredictedSelector::addDrawn(const std::vector<BackendView>& servers, std::size_t count, Sample& sample)
{
    for (std::size_t draw = 0; draw < count; ++draw) {
        sample.add({ &servers[random()() % servers.size()], Origin::Drawn, {} });
    }
}

internal::CachedPart PredictedSelector::cachedAt(
    const SelectRequest& request, const BackendView& view, const PrefixHolders::Holders* holders) const
{
    const PrefixHolders::Holder* holder = findHolder(holders, view.key);
    const double trust = holder == nullptr ? 0 : holders_.trust(*holder, view.memory, now());
    if (trust <= 0) {
        return {};
    }
    const auto shared = static_cast<double>(request.sharedTokens.value());
    return { Tokens { static_cast<std::int64_t>(shared * trust) }, now() - *holder->seenAt };
}

void PredictedSelector::Sample::add(const Candidate& candidate)
{
    const bool isKnown
        = std::any_of(begin(), end(), [&](const Candidate& other) { return other.view == candidate.view; });
    if (!isKnown && size_ < candidates_.size()) {
        candidates_[size_] = candidate;
        ++size_;
    }
}

const char* PredictedSelector::reasonOf(Origin origin)
{
    switch (origin) {
    case Origin::Home:
        return "home of the prefix";
    case Origin::InOrder:
        return "next in the prefix's order";
    case Origin::Holder:
        return "holds the prefix";
    case Origin::Drawn:
        return "drawn at random";
    }
    return "";
}

} // namespace swiftlift::routing
