#include "swiftlift/routing/Selector.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "routing/RendezvousSelector.h"
#include "routing/Selectors.h"

namespace swiftlift::routing {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration defaultRetry = 1s;
    constexpr Duration shortestRetry = 50ms;
    // Another failure domain has to be clearly better before requests leave the own one.
    constexpr int betterByPercent = 80;

    [[nodiscard]] std::string join(const std::map<std::string, int>& counts)
    {
        std::string text;
        for (const auto& [reason, count] : counts) {
            text += (text.empty() ? "" : ", ") + std::to_string(count) + ' ' + reason;
        }
        return text;
    }

} // namespace

Selector::Selector(SelectorSettings settings)
    : settings_(std::move(settings))
    , random_(settings_.seed)
{
}

std::optional<Choice> Selector::choose(const SelectRequest& request, const BackendTable& table, Instant now)
{
    const ViewRequest wanted { request.model, request.prefixHash, request.promptTokens, request.sharedTokens };
    Sorted sorted = sort(request, table.views(request.service, wanted, now));
    if (std::optional<Choice> choice = probe(request, sorted)) {
        return choice;
    }
    if (sorted.own.empty() && sorted.others.empty() && sorted.full.empty() && !sorted.heldBack.empty()) {
        return lastResort(sorted.heldBack);
    }
    if (sorted.own.empty() && sorted.full.empty() && sorted.others.empty()) {
        sorted.others = std::move(sorted.unreachableDomains);
    }
    if (sorted.own.empty() && sorted.others.empty()) {
        explain(sorted, now);
        return std::nullopt;
    }
    return pickByDomain(request, sorted);
}

std::string Selector::objection(const SelectRequest& request, const BackendView& view) const
{
    if (view.state == BackendState::Leaving) {
        return "leaving";
    }
    if (!view.servesModel) {
        return "without the model";
    }
    if (request.excluded.contains(view.backend)) {
        return "tried already";
    }
    if (view.probe && !request.idempotent) {
        return "waiting for a probe";
    }
    if (!view.usable) {
        return view.state == BackendState::Broken || view.state == BackendState::Probing ? "broken" : "paused";
    }
    return {};
}

// Requests that wait at a backend server are served in its order, not by the accounts' shares. So all but a few wait
// here; urgent ones may wait where they are next.
bool Selector::full(const SelectRequest& request, const BackendView& view) const
{
    const std::uint32_t more = request.priority == Priority::Interactive ? settings_.waitingAtBackend : 0;
    return view.waiting >= settings_.waitingAtBackend + more;
}

Selector::Sorted Selector::sort(const SelectRequest& request, std::vector<BackendView> views) const
{
    Sorted sorted;
    for (BackendView& view : views) {
        if (const std::string reason = objection(request, view); !reason.empty()) {
            ++sorted.unusable[reason];
            const bool mayReturn = view.usableAt && view.servesModel && !request.excluded.contains(view.backend);
            if (mayReturn && (!sorted.usableAt || *view.usableAt < *sorted.usableAt)) {
                sorted.usableAt = view.usableAt;
            }
            if (view.lastResort && mayReturn) {
                sorted.heldBack.push_back(std::move(view));
            }
        } else if (view.probe) {
            sorted.probes.push_back(std::move(view));
        } else if (full(request, view)) {
            sorted.full.push_back(std::move(view));
        } else if (request.unreachableDomains.contains(view.domain)) {
            sorted.unreachableDomains.push_back(std::move(view));
        } else if (view.domain == settings_.domain) {
            sorted.own.push_back(std::move(view));
        } else {
            view.predictedFirstToken += settings_.crossDomain;
            sorted.others.push_back(std::move(view));
        }
    }
    return sorted;
}

// Without a probe a breaker would stay open as long as others are usable. With every request one, a whole failure
// domain behind a cut would slow each of them down. So a few are, none of them urgent.
std::optional<Choice> Selector::probe(const SelectRequest& request, const Sorted& sorted)
{
    if (sorted.probes.empty()) {
        return std::nullopt;
    }
    const bool alone = sorted.own.empty() && sorted.others.empty();
    const bool drawn = request.priority != Priority::Interactive && random_() % 100 < settings_.probePercent;
    if (!alone && !drawn) {
        return std::nullopt;
    }
    const BackendView& view = sorted.probes[random_() % sorted.probes.size()];
    return Choice { view.backend, view.predictedFirstToken, "probe of an open breaker", {}, true };
}

// What goes wrong: a service that answers one request in nine with a failure, on all its servers alike, opens the
// breakers of all of them at a router with little traffic, which then refuses what eight in nine servers would have
// answered. One notices by `no_backend` with nothing but "broken" and "paused" in its detail. A breaker is there to
// send requests to better servers; where there is none, one that answers at all is better than a refusal.
Choice Selector::lastResort(const std::vector<BackendView>& heldBack)
{
    const auto best = std::min_element(heldBack.begin(), heldBack.end(),
        [](const auto& left, const auto& right) { return left.inFlight < right.inFlight; });
    return { best->backend, best->predictedFirstToken, "all are held back; this one answers", {}, false };
}

Choice Selector::pickByDomain(const SelectRequest& request, const Sorted& sorted)
{
    if (spansDomains(request)) {
        std::vector<BackendView> all = sorted.own;
        all.insert(all.end(), sorted.others.begin(), sorted.others.end());
        return pick(request, all);
    }
    if (sorted.own.empty()) {
        Choice choice = pick(request, sorted.others);
        choice.reason += ", other domain: own has none to use";
        return choice;
    }
    Choice own = pick(request, sorted.own);
    if (own.predictedFirstToken <= settings_.domainOverload || sorted.others.empty()) {
        own.reason += ", own domain";
        return own;
    }
    Choice other = pick(request, sorted.others);
    if (other.predictedFirstToken * 100 < own.predictedFirstToken * betterByPercent) {
        other.reason += ", other domain: own is overloaded";
        return other;
    }
    own.reason += ", own domain: others no better";
    return own;
}

void Selector::explain(const Sorted& sorted, Instant now)
{
    if (!sorted.full.empty()) {
        noChoice_ = NoChoice::AllFull;
        const auto soonest = std::min_element(sorted.full.begin(), sorted.full.end(),
            [](const auto& left, const auto& right) { return left.predictedFirstToken < right.predictedFirstToken; });
        retryAfter_ = std::max(soonest->predictedFirstToken, shortestRetry);
        lastReason_ = std::to_string(sorted.full.size()) + " full";
        lastReason_ += sorted.unusable.empty() ? "" : ", " + join(sorted.unusable);
        return;
    }
    noChoice_ = NoChoice::NoBackend;
    retryAfter_ = sorted.usableAt ? std::max<Duration>(*sorted.usableAt - now, shortestRetry) : defaultRetry;
    lastReason_ = sorted.unusable.empty() ? "the service has no backend server" : join(sorted.unusable);
}

std::unique_ptr<Selector> makeSelector(std::string_view name, SelectorSettings settings)
{
    if (name == "affinity") {
        return std::make_unique<AffinitySelector>(std::move(settings));
    }
    if (name == "rendezvous") {
        return std::make_unique<RendezvousSelector>(std::move(settings));
    }
    if (name == "random") {
        return std::make_unique<RandomSelector>(std::move(settings));
    }
    if (name == "round_robin") {
        return std::make_unique<RoundRobinSelector>(std::move(settings));
    }
    if (name == "least_load") {
        return std::make_unique<LeastLoadSelector>(std::move(settings));
    }
    return nullptr;
}

} // namespace swiftlift::routing
