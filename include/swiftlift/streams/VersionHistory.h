#pragma once

#include <map>
#include <optional>
#include <set>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::streams {

/** @brief Which software versions of a service's backend servers were registered, and until when. */
class VersionHistory {
public:
    /** @brief Records the versions that are registered now; others are gone from now on. */
    void setRegistered(const ServiceName& service, const std::set<SoftwareVersion>& versions, Instant now);

    /**
     * @brief Finds the version of all streams of the service that began within a time, without knowing the stream.
     * @param age How long ago a stream may have begun.
     * @return The only version that was registered in all that time; nullopt: there were several, or it is not known.
     */
    [[nodiscard]] std::optional<SoftwareVersion> onlyVersion(
        const ServiceName& service, Duration age, Instant now) const;
    /** @return True if backend servers of more than one version were registered within this time. */
    [[nodiscard]] bool hasSeveral(const ServiceName& service, Duration age, Instant now) const;
    /** @return True if hasSeveral() of any service. */
    [[nodiscard]] bool anyHasSeveral(Duration age, Instant now) const;
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
};

} // namespace swiftlift::streams
