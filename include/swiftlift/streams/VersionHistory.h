#pragma once

#include <map>
#include <optional>
#include <set>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/streams/VersionRecord.h"

namespace swiftlift::streams {

/** @brief Which software versions of a service's backend servers were registered, and until when. */
class VersionHistory {
public:
    /** @brief Records the versions that are registered now; others are gone from now on. */
    void setRegistered(const ServiceName& service, const std::set<SoftwareVersion>& versions, Instant now);

    /** Records that a server of this version has been registered, even if it is gone again. */
    void noteSeen(const ServiceName& service, const SoftwareVersion& version, Instant now);

    /**
     * @brief Adds the versions at which streams may have begun before this history.
     *
     * From then on, the history reaches back as far as streams do: other versions had no servers then.
     */
    void addEarlier(const ServiceVersions& versions, Instant now);

    /** Handles that changes were missed: what was registered until now is not known, until addEarlier() tells. */
    void onGap() noexcept;

    /**
     * @brief Finds the version of all streams of the service that began within a time, without knowing the stream.
     * @param age How long ago a stream may have begun.
     * @return The only version that was registered in all that time; nullopt: there were several, or it is not known.
     */
    [[nodiscard]] std::optional<SoftwareVersion> onlyVersion(
        const ServiceName& service, Duration age, Instant now) const;
    /** @return True if backend servers of more than one version were registered within this time. */
    [[nodiscard]] bool hasSeveral(const ServiceName& service, Duration age, Instant now) const;
    /** @return True if backend servers of another version than this one were registered within this time. */
    [[nodiscard]] bool hasOther(
        const ServiceName& service, const SoftwareVersion& version, Duration age, Instant now) const;
    /** @return True if hasSeveral() of any service. */
    [[nodiscard]] bool anyHasSeveral(Duration age, Instant now) const;
    /** @return For each service the versions that were registered within this time. */
    [[nodiscard]] ServiceVersions recent(Duration age, Instant now) const;
    /** @return True if backend servers of this version are registered. */
    [[nodiscard]] bool isRegistered(const ServiceName& service, const SoftwareVersion& version) const;

private:
    struct Service {
        Instant knownSince {};
        /** For each version when it was last registered; Instant::max(): it still is. */
        std::map<SoftwareVersion, Instant> lastSeen;
    };

    /** @return The service, if any of its versions is known. */
    [[nodiscard]] const Service* find(const ServiceName& service) const;

    std::map<ServiceName, Service> services_;
    /** The versions from before this history are known, too. */
    bool earlierKnown_ = false;
    /** Changes were missed, and addEarlier() has not told of them yet. */
    bool hasGap_ = false;
};

} // namespace swiftlift::streams
