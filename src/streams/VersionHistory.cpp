#include "swiftlift/streams/VersionHistory.h"

#include <algorithm>
#include <chrono>

namespace swiftlift::streams {

namespace {

    /** Versions that went this long ago are forgotten; no stream lasts as long. */
    constexpr Duration maxMemory = std::chrono::minutes(5);

} // namespace

void VersionHistory::setRegistered(const ServiceName& service, const std::set<SoftwareVersion>& versions, Instant now)
{
    const auto [entry, isNew] = services_.try_emplace(service);
    Service& known = entry->second;
    if (isNew) {
        known.knownSince = now;
    }
    for (auto& [version, lastSeen] : known.lastSeen) {
        if (lastSeen == Instant::max() && !versions.contains(version)) {
            lastSeen = now;
        }
    }
    for (const SoftwareVersion& version : versions) {
        known.lastSeen[version] = Instant::max();
    }
    std::erase_if(known.lastSeen, [now](const auto& seen) { return seen.second < now - maxMemory; });
}

void VersionHistory::noteSeen(const ServiceName& service, const SoftwareVersion& version, Instant now)
{
    Service& known = services_.try_emplace(service, Service { now, {} }).first->second;
    Instant& lastSeen = known.lastSeen.try_emplace(version, now).first->second;
    lastSeen = std::max(lastSeen, now);
}

// How long ago they went is not known, so they count as having gone now.
void VersionHistory::addEarlier(const ServiceVersions& versions, Instant now)
{
    earlierKnown_ = true;
    hasGap_ = false;
    for (const auto& [service, earlier] : versions) {
        for (const SoftwareVersion& version : earlier) {
            noteSeen(service, version, now);
        }
    }
}

void VersionHistory::onGap() noexcept { hasGap_ = true; }

const VersionHistory::Service* VersionHistory::find(const ServiceName& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

std::optional<SoftwareVersion> VersionHistory::onlyVersion(const ServiceName& service, Duration age, Instant now) const
{
    const Service* known = find(service);
    if (known == nullptr || hasGap_ || (!earlierKnown_ && known->knownSince > now - age)) {
        return std::nullopt;
    }
    std::optional<SoftwareVersion> only;
    for (const auto& [version, lastSeen] : known->lastSeen) {
        if (lastSeen < now - age) {
            continue;
        }
        if (only) {
            return std::nullopt;
        }
        only = version;
    }
    return only;
}

bool VersionHistory::hasSeveral(const ServiceName& service, Duration age, Instant now) const
{
    const Service* known = find(service);
    const auto isRecent = [&](const auto& seen) { return seen.second >= now - age; };
    return known != nullptr && std::ranges::count_if(known->lastSeen, isRecent) > 1;
}

bool VersionHistory::hasOther(
    const ServiceName& service, const SoftwareVersion& version, Duration age, Instant now) const
{
    const Service* known = find(service);
    const auto isOther = [&](const auto& seen) { return seen.first != version && seen.second >= now - age; };
    return known != nullptr && std::ranges::any_of(known->lastSeen, isOther);
}

bool VersionHistory::anyHasSeveral(Duration age, Instant now) const
{
    return std::ranges::any_of(services_, [&](const auto& entry) { return hasSeveral(entry.first, age, now); });
}

ServiceVersions VersionHistory::recent(Duration age, Instant now) const
{
    ServiceVersions versions;
    for (const auto& [service, known] : services_) {
        for (const auto& [version, lastSeen] : known.lastSeen) {
            if (lastSeen >= now - age) {
                versions[service].insert(version);
            }
        }
    }
    return versions;
}

bool VersionHistory::isRegistered(const ServiceName& service, const SoftwareVersion& version) const
{
    const Service* known = find(service);
    if (known == nullptr) {
        return false;
    }
    const auto seen = known->lastSeen.find(version);
    return seen != known->lastSeen.end() && seen->second == Instant::max();
}

} // namespace swiftlift::streams
