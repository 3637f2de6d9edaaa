#include "swiftlift/routing/BackendTable.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "routing/AnnouncementBook.h"
#include "routing/Backend.h"
#include "routing/RequestStatistics.h"
#include "routing/RoomRouters.h"
#include "swiftlift/base/RendezvousHash.h"
#include "swiftlift/routing/FleetLoad.h"

namespace swiftlift::routing {

namespace {

    /** Time in which the requests to a server that names a limit are counted. */
    constexpr Duration announcedWindow = std::chrono::seconds(4);
    /** Rate for a server that names a lower limit: without requests, the end of its limit would not be noticed. */
    constexpr double minAnnouncedRate = 0.1;
    /** Time between two requests of the whole fleet to a brittle server, at least: in the milliseconds until all
     * routers know that it is full, few more arrive. */
    constexpr Duration minFleetGap = std::chrono::milliseconds(1);
    /** The same for a server that can't bear two refusals in a second. */
    constexpr Duration fleetGapForOneRefusal = std::chrono::milliseconds(2);
    constexpr double minBearableForShortGap = 2;
    /** Time between two requests of one router to a brittle server, at least. */
    constexpr Duration minBrittleGap = std::chrono::milliseconds(20);
    /** Time between two requests of the whole fleet that show whether a full server has room again, where it can turn
     * one away in a second. */
    constexpr Duration fleetTrialGap = std::chrono::milliseconds(50);
    /** Time in which a router that has started hears what its peers know of servers. */
    constexpr Duration newsTime = std::chrono::milliseconds(1500);
    /** Time for which requests that this router's last process has sent may run. */
    constexpr Duration formerRunTime = std::chrono::seconds(60);
    /** Steps of the ranks by which routers try brittle servers again at different moments. */
    constexpr std::uint64_t rankSteps = 1024;

    /** @return True if routers tell each other their requests there. Only engines have a memory. Plain servers answer
     * within tens of milliseconds: by a view that is some hundred milliseconds old, all routers would send their
     * requests to the server that looked idle then. */
    [[nodiscard]] bool isInFleetLoad(const Backend& backend) { return backend.entry().memory.has_value(); }

} // namespace

BackendTable::BackendTable(TableSettings settings)
    : settings_(settings)
    , prefill_(std::make_unique<PrefillModel>(settings.assumedPrefillPerToken))
    , lengths_(std::make_unique<PrefixLengths>(settings.prefixesKept))
    , announcements_(std::make_unique<internal::AnnouncementBook>())
    , roomRouters_(std::make_unique<internal::RoomRouters>())
{
}

BackendTable::~BackendTable() = default;
BackendTable::BackendTable(BackendTable&&) noexcept = default;
BackendTable& BackendTable::operator=(BackendTable&&) noexcept = default;

void BackendTable::setBackends(const ServiceName& service, const std::vector<BackendEntry>& backends, Instant now)
{
    startedAt_ = startedAt_.value_or(now);
    std::set<BackendId> ids;
    for (const BackendEntry& entry : backends) {
        ids.insert(entry.backend);
        if (Backend* found = find(entry.backend)) {
            found->setEntry(entry, now);
            continue;
        }
        const std::uint64_t seed = settings_.seed ^ std::hash<BackendId> {}(entry.backend);
        auto& requests = requests_[service];
        if (!requests) {
            requests = std::make_unique<internal::RequestStatistics>();
        }
        auto& added = backends_[entry.backend];
        added = std::make_unique<Backend>(entry, settings_, *prefill_, *lengths_, *requests, seed);
        if (now - *startedAt_ < formerRunTime) {
            added->onFormerProcess({ *startedAt_ + newsTime, *startedAt_ + formerRunTime });
        }
    }
    if (ids.empty()) {
        services_.erase(service);
        brittleServers_.erase(service);
    } else {
        std::erase_if(brittleServers_[service], [&](const auto& entry) { return !ids.contains(entry.first); });
        services_[service] = std::move(ids);
    }
    // Whether a new server may be brittle depends on the services that list it.
    for (const BackendEntry& entry : backends) {
        applyAnnouncement(*find(entry.backend), now);
    }
    removeUnlisted();
    distributePrefixCapacity();
}

void BackendTable::distributePrefixCapacity()
{
    if (backends_.empty()) {
        return;
    }
    const std::size_t share
        = std::clamp<std::size_t>(settings_.prefixesInAll / backends_.size(), 1, settings_.prefixesKept);
    for (const auto& [id, backend] : backends_) {
        backend->setPrefixesKept(share);
    }
}

void BackendTable::onLinksLost()
{
    for (const auto& [id, backend] : backends_) {
        backend->forgetFailures();
    }
}

void BackendTable::tick(Instant now)
{
    if (roomRouters_->expire(now)) {
        for (const auto& [id, backend] : backends_) {
            updateRoom(*backend, now);
        }
    }
    if (hasUnlistedBackends_) {
        removeUnlisted();
    }
}

void BackendTable::removeUnlisted()
{
    std::set<BackendId> used;
    for (const auto& [service, ids] : services_) {
        used.insert(ids.begin(), ids.end());
    }
    // A backend server that still runs attempts of this router stays in the table, so that its load is right if a
    // service lists it again.
    std::erase_if(backends_, [&](const auto& entry) { return !used.contains(entry.first) && entry.second->idle(); });
    hasUnlistedBackends_ = backends_.size() > used.size();
}

Backend* BackendTable::find(const BackendId& backend) const
{
    const auto found = backends_.find(backend);
    return found == backends_.end() ? nullptr : found->second.get();
}

void BackendTable::setRouters(const PeerAddress& self, std::vector<PeerAddress> routers, Instant now)
{
    if (self == self_ && routers == routers_) {
        return;
    }
    self_ = self;
    routers_ = std::move(routers);
    roomRouters_->onListed(self_, routers_, now);
    for (const auto& [id, backend] : backends_) {
        updateLimits(*backend, now);
    }
}

FleetShare BackendTable::shareOf(const Backend& backend, const FleetRate& rate) const
{
    return fleetShare(rate, backend.entry().backend, self_, routers_);
}

void BackendTable::applyAnnouncement(Backend& backend, Instant now) const
{
    const BackendEntry& entry = backend.entry();
    backend.setAnnounced(announcements_->find(entry.backend, entry.instance), now);
    updateLimits(backend, now);
}

void BackendTable::updateLimits(Backend& backend, Instant now) const
{
    const BackendEntry& entry = backend.entry();
    const internal::KnownAnnouncement* announced = announcements_->find(entry.backend, entry.instance);
    std::optional<internal::ArrivalLimit> cold;
    if (entry.cold) {
        cold = { shareOf(backend, { entry.cold->requestsPerSecond }), entry.cold->until };
    }
    backend.setLimit(LimitCause::Cold, cold);
    std::optional<internal::ArrivalLimit> limit;
    if (announced != nullptr && announced->limit.value) {
        limit = { shareOf(backend, { std::max(*announced->limit.value, minAnnouncedRate), announcedWindow }) };
    }
    backend.setLimit(LimitCause::Announced, limit);
    updateRoom(backend, now);
}

// Servers of a service become brittle together. A router that has just started, or is cut off from its peers, has
// heard of some of them only, and would fill the others.
std::optional<double> BackendTable::bearableOf(const Backend& backend, Instant now) const
{
    const BackendId& server = backend.entry().backend;
    const internal::KnownAnnouncement* announced = announcements_->find(server, backend.entry().instance);
    if (announced != nullptr && announced->brittle.statedAt) {
        return announced->brittle.value;
    }
    if (backend.isHeard(now)) {
        return std::nullopt;
    }
    for (const auto& [service, stating] : brittleServers_) {
        const auto ids = services_.find(service);
        if (!stating.empty() && ids != services_.end() && ids->second.contains(server)) {
            return stating.begin()->second;
        }
    }
    return std::nullopt;
}

void BackendTable::updateRoom(Backend& backend, Instant now) const
{
    const auto bearable = bearableOf(backend, now);
    if (!bearable) {
        backend.setRoomPart(std::nullopt, now);
        return;
    }
    const BackendId& server = backend.entry().backend;
    const std::uint64_t rank = rendezvousRank(stableHash(server.value()), stableHash(self_.value())) % rankSteps;
    const std::uint32_t guaranteed = roomShare(backend.places(), server, self_, roomRouters_->list());
    const auto routers = static_cast<Duration::rep>(roomRouters_->list().size());
    const Duration fleetGap = *bearable < minBearableForShortGap ? fleetGapForOneRefusal : minFleetGap;
    const Duration gap = std::max<Duration>(minBrittleGap, fleetGap * routers);
    const auto trialGap
        = std::chrono::duration_cast<Duration>(fleetTrialGap * static_cast<double>(routers) / (*bearable * *bearable));
    backend.setRoomPart(internal::RoomPart { guaranteed, *bearable, gap, std::max<Duration>(trialGap, minBrittleGap),
                            static_cast<double>(rank) / static_cast<double>(rankSteps) },
        now);
    const internal::KnownAnnouncement* announced = announcements_->find(server, backend.entry().instance);
    if (announced != nullptr && announced->turnedAwayAt && backend.onTurnedAway(*announced->turnedAwayAt)) {
        pauseService(server, *announced->turnedAwayAt);
    }
}

// One server's record says nothing of the others: a new life states first what it has to, and an answer may lack a
// statement that holds.
void BackendTable::updateBrittleServices(const BackendId& server, Instant now)
{
    const auto* announced = announcements_->find(server, find(server)->entry().instance);
    const bool isBrittle = announced != nullptr && announced->brittle.value;
    for (const auto& [service, ids] : services_) {
        if (!ids.contains(server)) {
            continue;
        }
        std::map<BackendId, double>& stating = brittleServers_[service];
        const bool wasBrittle = !stating.empty();
        if (isBrittle) {
            stating[server] = *announced->brittle.value;
        } else {
            stating.erase(server);
        }
        for (const BackendId& id : stating.empty() == wasBrittle ? ids : std::set<BackendId> {}) {
            updateRoom(*find(id), now);
        }
    }
}

void BackendTable::pauseService(const BackendId& server, Instant at) const
{
    for (const auto& [service, ids] : services_) {
        if (!ids.contains(server)) {
            continue;
        }
        for (const BackendId& id : ids) {
            if (Backend* other = find(id)) {
                other->onServiceTurnedAway(at);
            }
        }
    }
}

void BackendTable::announcementChanged(const BackendId& backend, bool fromPeer, Instant now)
{
    Backend* found = find(backend);
    if (found == nullptr) {
        return;
    }
    applyAnnouncement(*found, now);
    updateBrittleServices(backend, now);
    if (const auto* known = announcements_->find(backend, found->entry().instance)) {
        AnnouncementChange change { backend, known->limit.value, std::nullopt, known->brittle.value,
            known->leavingStatedAt.has_value(), fromPeer };
        if (known->limit.statedAt) {
            change.limitAge = now - *known->limit.statedAt;
        }
        announcementChanges_.push_back(std::move(change));
    }
}

void BackendTable::onAnnounced(const BackendId& backend, const Announcement& announcement, Instant now)
{
    Backend* found = find(backend);
    if (found == nullptr) {
        return;
    }
    found->onHeard(now);
    const bool changed = announcements_->onAnnounced(backend, found->entry().instance, announcement, now);
    found->setAnnounced(announcements_->find(backend, found->entry().instance), now);
    if (changed) {
        announcementChanged(backend, false, now);
    }
}

void BackendTable::onShared(const std::vector<SharedAnnouncement>& shared, Instant now)
{
    for (const SharedAnnouncement& each : shared) {
        const bool changed = announcements_->onShared(each, now);
        if (Backend* found = find(each.backend)) {
            found->setAnnounced(announcements_->find(each.backend, found->entry().instance), now);
        }
        if (changed) {
            announcementChanged(each.backend, true, now);
        }
    }
}

std::vector<SharedAnnouncement> BackendTable::toShare(Instant now) const { return announcements_->toShare(now); }

AnnouncementCounts BackendTable::announcementCounts(Instant now) const { return announcements_->counts(now); }

std::vector<AnnouncementChange> BackendTable::takeAnnouncementChanges()
{
    return std::exchange(announcementChanges_, {});
}

std::vector<TurnedAway> BackendTable::takeTurnedAway() { return std::exchange(turnedAway_, {}); }

void BackendTable::onLoad(const BackendId& backend, const LoadReport& report, Instant now)
{
    Backend* found = find(backend);
    if (found != nullptr && found->onLoad(report, now)) {
        announcements_->onRestarted(backend, now);
        applyAnnouncement(*found, now);
    }
}

void BackendTable::onLoadMissed(const BackendId& backend, Instant now)
{
    if (Backend* found = find(backend)) {
        found->onLoadMissed(now);
    }
}

void BackendTable::onCacheEvents(const BackendId& backend, const std::vector<CacheNotice>& events, Instant /*now*/)
{
    if (Backend* found = find(backend)) {
        found->onCacheEvents(events);
    }
}

void BackendTable::onDispatched(const BackendId& backend, AttemptId attempt, const DispatchFacts& facts, Instant now)
{
    Backend* found = find(backend);
    if (found == nullptr) {
        return;
    }
    if (found->isRoomLimited()) {
        updateRoom(*found, now);
    }
    found->onDispatched(attempt, facts, now);
}

void BackendTable::onFirstToken(const BackendId& backend, AttemptId attempt, Instant now)
{
    if (Backend* found = find(backend)) {
        found->onFirstToken(attempt, now);
    }
}

void BackendTable::onFinished(const BackendId& backend, AttemptId attempt, const FinishFacts& facts, Instant now)
{
    Backend* found = find(backend);
    if (found == nullptr) {
        return;
    }
    const auto ended = found->onFinished(attempt, facts, now);
    if (ended && facts.announcement
        && announcements_->onAnswered(backend, found->entry().instance, *facts.announcement, ended->sentAt, now)) {
        announcementChanged(backend, false, now);
    }
    if (ended && facts.kind == EndKind::NotStarted) {
        onTurnedAway(*found, *ended, now);
    }
}

void BackendTable::onTurnedAway(Backend& backend, const EndedAttempt& attempt, Instant now)
{
    const BackendEntry& entry = backend.entry();
    const internal::KnownAnnouncement* known = announcements_->find(entry.backend, entry.instance);
    if (known == nullptr || !known->brittle.value) {
        return;
    }
    TurnedAway turnedAway { entry.backend, *known->brittle.value, backend.inFlight(), backend.slots(), std::nullopt,
        attempt.place, backend.room(now), attempt.memory };
    turnedAway.room.routers = static_cast<std::uint32_t>(roomRouters_->list().size());
    if (const auto changedAt = roomRouters_->changedAt()) {
        turnedAway.room.listAge = now - *changedAt;
    }
    if (known->turnedAwayAt) {
        turnedAway.sinceLast = now - *known->turnedAwayAt;
    }
    turnedAway_.push_back(std::move(turnedAway));
    if (backend.onTurnedAway(now)) {
        pauseService(entry.backend, now);
    }
    if (announcements_->onTurnedAway(entry.backend, entry.instance, now)) {
        urgentNews_ = true;
        announcementChanged(entry.backend, false, now);
    }
}

bool BackendTable::takeUrgentNews() noexcept { return std::exchange(urgentNews_, false); }

void BackendTable::onLeaving(const BackendId& backend, Instant now)
{
    if (Backend* found = find(backend)) {
        found->onLeaving(now);
    }
}

std::vector<BackendView> BackendTable::views(const ServiceName& service, const ViewRequest& request, Instant now) const
{
    std::vector<BackendView> views;
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return views;
    }
    views.reserve(found->second.size());
    for (const BackendId& id : found->second) {
        views.push_back(viewOf(*backends_.at(id), request, now));
    }
    return views;
}

std::optional<BackendView> BackendTable::view(const BackendId& backend, const ViewRequest& request, Instant now) const
{
    const Backend* found = find(backend);
    if (found == nullptr) {
        return std::nullopt;
    }
    return viewOf(*found, request, now);
}

BackendView BackendTable::viewOf(const Backend& backend, const ViewRequest& request, Instant now) const
{
    BackendView view = backend.view(request, now);
    if (fleetLoad_ != nullptr && isInFleetLoad(backend)) {
        view.peers = fleetLoad_->of(view.key, now);
        view.pace = fleetLoad_->paceOf(view.key, now);
    }
    return view;
}

std::vector<ServerLoadEntry> BackendTable::takeOwnLoads()
{
    std::vector<ServerLoadEntry> loads;
    for (const auto& [id, backend] : backends_) {
        const std::optional<Duration> pace = backend->takePace();
        if (isInFleetLoad(*backend) && (!backend->idle() || pace)) {
            loads.push_back({ backend->key(), backend->ownLoad(), pace });
        }
    }
    return loads;
}

std::vector<BackendId> BackendTable::backends() const
{
    std::vector<BackendId> ids;
    for (const auto& [id, backend] : backends_) {
        ids.push_back(id);
    }
    return ids;
}

std::vector<BackendId> BackendTable::backendsOf(const ServiceName& service) const
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return {};
    }
    return { found->second.begin(), found->second.end() };
}

std::vector<std::string> BackendTable::modelsOf(const BackendId& backend) const
{
    const Backend* found = find(backend);
    if (found == nullptr) {
        return {};
    }
    return { found->models().begin(), found->models().end() };
}

} // namespace swiftlift::routing
