#include "swiftlift/routing/Selector.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "routing/PredictedSelector.h"
#include "routing/RendezvousSelector.h"
#include "routing/Selectors.h"

namespace swiftlift::routing {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration defaultRetryAfter = 1s;
    constexpr Duration minRetryAfter = 50ms;
    // Requests leave the own failure domain only if the predicted time to first token in another domain is below this
    // percentage of the own domain's.
    constexpr int maxOtherDomainPercent = 80;

    [[nodiscard]] const char* toText(LimitCause cause)
    {
        switch (cause) {
        case LimitCause::Cold:
            return "cold";
        case LimitCause::Announced:
            return "at the limit that they name";
        case LimitCause::Brittle:
            return "brittle";
        }
        return "limited";
    }

    [[nodiscard]] bool isOfAnotherVersion(const SelectRequest& request, const BackendView& view)
    {
        return request.version && view.version != *request.version;
    }

    /** @return Requests of the whole fleet at the server; `view.peers` must have a value. */
    [[nodiscard]] std::uint32_t requestsAt(const BackendView& view)
    {
        return view.own.inProgress + view.peers->load.inProgress;
    }

    /** @return True if the server's memory can't hold the request even without any other. */
    [[nodiscard]] bool isTooSmall(const SelectRequest& request, const BackendView& view)
    {
        return view.memory && request.memory > *view.memory;
    }

    /** @return True if the server's memory holds the request beside those that are known to be there. An engine crashes
     * if its requests need more than its memory. Without a view of the fleet a router knows too few of them to tell. */
    [[nodiscard]] bool fitsMemory(const SelectRequest& request, const BackendView& view)
    {
        if (!view.memory || !view.peers || request.memory == Tokens {}) {
            return true;
        }
        return view.own.memory + view.peers->load.memory + request.memory <= *view.memory;
    }

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
    now_ = now;
    const ViewRequest viewRequest { request.model, request.prefixHash, request.promptTokens, request.sharedTokens };
    Classified classified = classify(request, table.views(request.service, viewRequest, now));
    if (std::optional<Choice> choice = pickProbe(request, classified)) {
        return choice;
    }
    if (std::optional<Choice> choice = pickUnconfirmedLimit(classified)) {
        return choice;
    }
    if (classified.ownDomain.empty() && classified.otherDomains.empty()) {
        classified.otherDomains = std::move(classified.uncertain);
    }
    const bool hasFull = !classified.full.empty() || !classified.outOfMemory.empty();
    if (classified.ownDomain.empty() && classified.otherDomains.empty() && !hasFull
        && !classified.lastResorts.empty()) {
        return pickLastResort(classified.lastResorts);
    }
    if (classified.ownDomain.empty() && !hasFull && classified.otherDomains.empty()) {
        classified.otherDomains = std::move(classified.inUnreachableDomains);
    }
    if (classified.ownDomain.empty() && classified.otherDomains.empty()) {
        explainNoChoice(classified, now);
        return std::nullopt;
    }
    return pickByDomain(request, classified);
}

std::string Selector::unusableReason(const SelectRequest& request, const BackendView& view) const
{
    if (view.state == BackendState::Leaving) {
        return "leaving";
    }
    if (view.state == BackendState::Evacuated) {
        return "in an evacuated domain";
    }
    if (!view.servesModel) {
        return "without the model";
    }
    if (isOfAnotherVersion(request, view)) {
        return "of another version";
    }
    if (request.excluded.contains(view.backend)) {
        return "tried already";
    }
    if (isTooSmall(request, view)) {
        return "too small";
    }
    if (view.heldBackBy && view.heldBackBy != LimitCause::Brittle) {
        return toText(*view.heldBackBy);
    }
    if (view.resting) {
        return "resting";
    }
    if (view.probe && !request.idempotent) {
        return "waiting for a probe";
    }
    if (!view.usable && view.heldBackBy != LimitCause::Brittle) {
        return view.state == BackendState::Broken || view.state == BackendState::Probing ? "broken" : "paused";
    }
    return {};
}

// A backend server serves waiting requests in its own order and not by the accounts' shares, so all but a few wait in
// the router. Interactive requests may add to the few, since they are served next there. With the load of the whole
// fleet the bound is wider: the figures are some hundred milliseconds old, and one router has little part in them.
bool Selector::isFull(const SelectRequest& request, const BackendView& view) const
{
    // A request that one brittle server has turned away would be turned away by others that are full, too.
    if (view.heldBackBy == LimitCause::Brittle || (view.roomUncertain && !request.excluded.empty())) {
        return true;
    }
    if (view.peers) {
        return requestsAt(view) > 2 * std::uint64_t { view.slots };
    }
    const std::uint32_t additional = request.priority == Priority::Interactive ? settings_.waitingAtBackend : 0;
    return view.waiting >= settings_.waitingAtBackend + additional;
}

Selector::Classified Selector::classify(const SelectRequest& request, std::vector<BackendView> views) const
{
    Classified classified;
    for (BackendView& view : views) {
        if (const std::string reason = unusableReason(request, view); !reason.empty()) {
            ++classified.unusable[reason];
            const bool tried = request.excluded.contains(view.backend);
            const bool mayBecomeUsable
                = view.usableAt && view.servesModel && !isOfAnotherVersion(request, view) && !isTooSmall(request, view);
            // A server that turned this request away takes the caller's next attempt after its rest.
            const bool mayServeNextAttempt = mayBecomeUsable && (!tried || view.resting);
            if (mayServeNextAttempt && (!classified.usableAt || *view.usableAt < *classified.usableAt)) {
                classified.usableAt = view.usableAt;
            }
            if (view.lastResort && mayBecomeUsable && !tried && fitsMemory(request, view)) {
                classified.lastResorts.push_back(std::move(view));
            }
        } else if (!fitsMemory(request, view)) {
            classified.outOfMemory.push_back(std::move(view));
        } else if (view.probe) {
            classified.probes.push_back(std::move(view));
        } else if (isFull(request, view)) {
            classified.full.push_back(std::move(view));
        } else {
            addUsable(request, std::move(view), classified);
        }
    }
    return classified;
}

void Selector::addUsable(const SelectRequest& request, BackendView view, Classified& classified) const
{
    if (request.unreachableDomains.contains(view.domain)) {
        classified.inUnreachableDomains.push_back(std::move(view));
        return;
    }
    if (view.limitUnconfirmed) {
        classified.unconfirmedLimits.push_back(view);
    }
    if (view.roomUncertain) {
        classified.uncertain.push_back(std::move(view));
        return;
    }
    if (view.domain == settings_.domain) {
        classified.ownDomain.push_back(std::move(view));
    } else {
        view.predictedFirstToken += settings_.crossDomain;
        classified.otherDomains.push_back(std::move(view));
    }
}

// Without probes, a breaker would stay open as long as other backend servers are usable. If every request could be a
// probe, an unreachable failure domain would delay every request. So only a few requests become probes, and interactive
// ones only if no other backend server is usable.
std::optional<Choice> Selector::pickProbe(const SelectRequest& request, const Classified& classified)
{
    if (classified.probes.empty()) {
        return std::nullopt;
    }
    const bool noneUsable = classified.ownDomain.empty() && classified.otherDomains.empty();
    const bool drawnAsProbe = request.priority != Priority::Interactive && random_() % 100 < settings_.probePercent;
    if (!noneUsable && !drawnAsProbe) {
        return std::nullopt;
    }
    const BackendView& view = classified.probes[random_() % classified.probes.size()];
    return Choice { view.backend, view.predictedFirstToken, "probe of an open breaker", {}, true };
}

// A limit ends when an answer no longer names it. A server whose limit sends its requests elsewhere would get none that
// could show the end.
std::optional<Choice> Selector::pickUnconfirmedLimit(const Classified& classified)
{
    const auto& servers = classified.unconfirmedLimits;
    if (servers.empty() || random_() % 100 >= settings_.probePercent) {
        return std::nullopt;
    }
    const BackendView& view = servers[random_() % servers.size()];
    return Choice { view.backend, view.predictedFirstToken, "shows whether its limit still holds", {}, false };
}

// If all servers of a service answer one request in nine with a failure, the breakers of all of them open at a router
// with little traffic, which then refuses requests of which eight in nine would have succeeded; the refusals are
// `no_backend` with only "broken" and "paused" in the detail. A breaker exists to direct requests to better servers;
// where there is none, a server that answers at all is better than a refusal.
Choice Selector::pickLastResort(const std::vector<BackendView>& lastResorts)
{
    const auto best = std::min_element(lastResorts.begin(), lastResorts.end(),
        [](const auto& left, const auto& right) { return left.inFlight < right.inFlight; });
    return { best->backend, best->predictedFirstToken,
        "last resort: all are held back by their breakers, this one answers", {}, false };
}

Choice Selector::pickByDomain(const SelectRequest& request, const Classified& classified)
{
    if (spansDomains(request)) {
        std::vector<BackendView> all = classified.ownDomain;
        all.insert(all.end(), classified.otherDomains.begin(), classified.otherDomains.end());
        return pick(request, all);
    }
    if (classified.ownDomain.empty()) {
        Choice choice = pick(request, classified.otherDomains);
        choice.reason += ", other domain: own has none to use";
        return choice;
    }
    Choice ownChoice = pick(request, classified.ownDomain);
    if (ownChoice.expectedFirstToken() <= settings_.domainOverload || classified.otherDomains.empty()) {
        ownChoice.reason += ", own domain";
        return ownChoice;
    }
    Choice otherChoice = pick(request, classified.otherDomains);
    if (otherChoice.expectedFirstToken() * 100 < ownChoice.expectedFirstToken() * maxOtherDomainPercent) {
        otherChoice.reason += ", other domain: own is overloaded";
        return otherChoice;
    }
    ownChoice.reason += ", own domain: others no better";
    return ownChoice;
}

void Selector::explainNoChoice(const Classified& classified, Instant now)
{
    if (!classified.full.empty() || !classified.outOfMemory.empty()) {
        noChoice_ = classified.outOfMemory.empty() ? NoChoice::AllFull : NoChoice::MemoryFull;
        const auto& waitsFor = classified.full.empty() ? classified.outOfMemory : classified.full;
        const auto earliest = std::min_element(waitsFor.begin(), waitsFor.end(),
            [](const auto& left, const auto& right) { return left.predictedFirstToken < right.predictedFirstToken; });
        retryAfter_ = std::max(earliest->predictedFirstToken, minRetryAfter);
        lastReason_ = std::to_string(classified.full.size()) + " full";
        if (!classified.outOfMemory.empty()) {
            lastReason_ += ", " + std::to_string(classified.outOfMemory.size()) + " memory";
        }
        lastReason_ += classified.unusable.empty() ? "" : ", " + join(classified.unusable);
        return;
    }
    noChoice_ = NoChoice::NoBackend;
    retryAfter_
        = classified.usableAt ? std::max<Duration>(*classified.usableAt - now, minRetryAfter) : defaultRetryAfter;
    lastReason_ = classified.unusable.empty() ? "the service has no backend server" : join(classified.unusable);
}

std::unique_ptr<Selector> makeSelector(std::string_view name, SelectorSettings settings)
{
    if (name == "affinity") {
        return std::make_unique<AffinitySelector>(std::move(settings));
    }
    if (name == "rendezvous") {
        return std::make_unique<RendezvousSelector>(std::move(settings));
    }
    if (name == "predicted") {
        return std::make_unique<PredictedSelector>(std::move(settings));
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
