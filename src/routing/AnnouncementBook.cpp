#include "routing/AnnouncementBook.h"

#include <algorithm>

namespace swiftlift::routing::internal {

namespace {

    /** The same statement comes with a slightly later time from each router that passes it on. */
    constexpr Duration minShareGain = std::chrono::milliseconds(200);

    [[nodiscard]] std::optional<Duration> ageOf(const std::optional<Instant>& time, Instant now)
    {
        return time ? std::optional<Duration>(now - *time) : std::nullopt;
    }

    /** @brief Moves the first `steps` elements to the end, as often as the list is passed. */
    void rotate(std::vector<SharedAnnouncement>& list, std::size_t steps)
    {
        if (!list.empty()) {
            std::rotate(list.begin(), list.begin() + static_cast<std::ptrdiff_t>(steps % list.size()), list.end());
        }
    }

} // namespace

KnownAnnouncement* AnnouncementBook::record(const BackendId& backend, std::uint64_t instance, Instant now)
{
    const auto found = servers_.find(backend);
    if (found != servers_.end() && found->second.instance > instance) {
        return nullptr;
    }
    if (found == servers_.end() && servers_.size() >= maxServers) {
        removeOld(now);
    }
    KnownAnnouncement& known = found == servers_.end() ? servers_[backend] : found->second;
    if (known.instance < instance) {
        known = {};
        known.instance = instance;
    }
    return &known;
}

void AnnouncementBook::removeOld(Instant now)
{
    std::erase_if(servers_, [&](const auto& entry) { return !isInForce(entry.second, now); });
    if (servers_.size() >= maxServers) {
        servers_.erase(
            std::ranges::min_element(servers_, {}, [](const auto& entry) { return entry.second.changedAt; }));
    }
}

bool AnnouncementBook::setNumber(
    KnownAnnouncement& known, StatedNumber& number, std::optional<double> value, Instant statedAt, Instant now)
{
    number.statedAt = statedAt;
    if (number.value == value) {
        return false;
    }
    number.value = value;
    known.changedAt = now;
    return true;
}

bool AnnouncementBook::withdraw(KnownAnnouncement& known, StatedNumber& number, Instant sentAt, Instant now)
{
    return number.value && sentAt > number.statedAt && setNumber(known, number, std::nullopt, sentAt, now);
}

bool AnnouncementBook::setLeaving(KnownAnnouncement& known, Instant statedAt, Instant now)
{
    const bool wasKnown = known.leavingStatedAt.has_value();
    known.leavingStatedAt = std::max(known.leavingStatedAt.value_or(statedAt), statedAt);
    known.changedAt = wasKnown ? known.changedAt : now;
    return !wasKnown;
}

bool AnnouncementBook::onAnnounced(
    const BackendId& backend, std::uint64_t instance, const Announcement& announcement, Instant now)
{
    KnownAnnouncement* known = announcement.empty() ? nullptr : record(backend, instance, now);
    if (known == nullptr) {
        return false;
    }
    // A request that was sent before the rest began may be turned away with a shorter one.
    known->restUntil = std::max(known->restUntil, now + announcement.rest.value_or(Duration {}));
    const bool leavingChanged = announcement.leaving && setLeaving(*known, now, now);
    const bool limitChanged = announcement.limit && setNumber(*known, known->limit, announcement.limit, now, now);
    const bool brittleChanged
        = announcement.brittle && setNumber(*known, known->brittle, announcement.brittle, now, now);
    return leavingChanged || limitChanged || brittleChanged;
}

bool AnnouncementBook::onAnswered(
    const BackendId& backend, std::uint64_t instance, const Announcement& announcement, Instant sentAt, Instant now)
{
    const auto found = servers_.find(backend);
    if (found == servers_.end() || found->second.instance != instance) {
        return false;
    }
    KnownAnnouncement& known = found->second;
    const bool limitChanged = !announcement.limit && withdraw(known, known.limit, sentAt, now);
    const bool brittleChanged = !announcement.brittle && withdraw(known, known.brittle, sentAt, now);
    return limitChanged || brittleChanged;
}

bool AnnouncementBook::onTurnedAway(const BackendId& backend, std::uint64_t instance, Instant now)
{
    const auto found = servers_.find(backend);
    if (found == servers_.end() || found->second.instance != instance || !found->second.brittle.value) {
        return false;
    }
    KnownAnnouncement& known = found->second;
    const bool isNew = !known.turnedAwayAt || now - *known.turnedAwayAt >= turnedAwayPeriod;
    known.turnedAwayAt = now;
    known.changedAt = isNew ? now : known.changedAt;
    return isNew;
}

bool AnnouncementBook::onShared(const SharedAnnouncement& shared, Instant now)
{
    KnownAnnouncement* known = record(shared.backend, shared.instance, now);
    if (known == nullptr) {
        return false;
    }
    const bool leavingChanged = applySharedLeaving(*known, shared, now);
    const bool limitChanged = applyShared(*known, known->limit, shared.limit, shared.limitAge, now);
    const bool brittleChanged = applyShared(*known, known->brittle, shared.brittle, shared.brittleAge, now);
    const bool turnedAwayChanged = applySharedTurnedAway(*known, shared, now);
    return leavingChanged || limitChanged || brittleChanged || turnedAwayChanged;
}

// A router that has not seen the server's restart yet passes on what the former instance stated.
bool AnnouncementBook::applySharedLeaving(KnownAnnouncement& known, const SharedAnnouncement& shared, Instant now)
{
    if (!shared.leavingAge || now - *shared.leavingAge <= known.restartedAt) {
        return false;
    }
    return setLeaving(known, now - *shared.leavingAge, now);
}

bool AnnouncementBook::applyShared(KnownAnnouncement& known, StatedNumber& number, std::optional<double> value,
    std::optional<Duration> age, Instant now)
{
    if (!age) {
        return false;
    }
    const Instant statedAt = now - *age;
    const Duration minGain = number.value == value ? minShareGain : Duration {};
    if (number.statedAt && statedAt <= *number.statedAt + minGain) {
        return false;
    }
    return setNumber(known, number, value, statedAt, now);
}

bool AnnouncementBook::applySharedTurnedAway(KnownAnnouncement& known, const SharedAnnouncement& shared, Instant now)
{
    if (!shared.turnedAwayAge) {
        return false;
    }
    const Instant at = now - *shared.turnedAwayAge;
    if (known.turnedAwayAt && at <= *known.turnedAwayAt + minShareGain) {
        return false;
    }
    known.turnedAwayAt = at;
    return true;
}

void AnnouncementBook::onRestarted(const BackendId& backend, Instant now)
{
    if (const auto found = servers_.find(backend); found != servers_.end()) {
        const std::uint64_t instance = found->second.instance;
        found->second = {};
        found->second.instance = instance;
        found->second.limit.statedAt = now;
        found->second.brittle.statedAt = now;
        found->second.restartedAt = now;
        found->second.changedAt = now;
    }
}

const KnownAnnouncement* AnnouncementBook::find(const BackendId& backend, std::uint64_t instance) const
{
    const auto found = servers_.find(backend);
    return found == servers_.end() || found->second.instance != instance ? nullptr : &found->second;
}

AnnouncementCounts AnnouncementBook::counts(Instant now) const
{
    AnnouncementCounts counts;
    for (const auto& [backend, known] : servers_) {
        counts.limited += known.limit.value ? 1 : 0;
        counts.brittle += known.brittle.value ? 1 : 0;
        counts.leaving += known.leavingStatedAt ? 1 : 0;
        counts.resting += now < known.restUntil ? 1 : 0;
    }
    return counts;
}

bool AnnouncementBook::isWorthSharing(const KnownAnnouncement& known, Instant now)
{
    const bool wasLeavingLately = known.leavingStatedAt && now - known.changedAt < leavingLifetime;
    return known.limit.value || known.brittle.value || wasLeavingLately || now - known.changedAt < changeLifetime;
}

bool AnnouncementBook::isInForce(const KnownAnnouncement& known, Instant now)
{
    return isWorthSharing(known, now) || known.leavingStatedAt || now < known.restUntil;
}

std::vector<SharedAnnouncement> AnnouncementBook::toShare(Instant now) const
{
    std::vector<SharedAnnouncement> full;
    std::vector<SharedAnnouncement> changed;
    std::vector<SharedAnnouncement> others;
    for (const auto& [backend, known] : servers_) {
        if (isWorthSharing(known, now)) {
            const bool isFull = known.turnedAwayAt && now - *known.turnedAwayAt < turnedAwayPeriod;
            const bool isChanged = now - known.changedAt < changeLifetime;
            auto& list = isFull ? full : (isChanged ? changed : others);
            list.push_back({ backend, known.instance, known.limit.value, ageOf(known.limit.statedAt, now),
                ageOf(known.leavingStatedAt, now), known.brittle.value, ageOf(known.brittle.statedAt, now),
                ageOf(known.turnedAwayAt, now) });
        }
    }
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / sharePeriod);
    rotate(changed, turn * maxShared);
    rotate(others, turn * maxShared);
    full.insert(full.end(), changed.begin(), changed.end());
    full.insert(full.end(), others.begin(), others.end());
    full.resize(std::min(full.size(), maxShared));
    return full;
}

} // namespace swiftlift::routing::internal
