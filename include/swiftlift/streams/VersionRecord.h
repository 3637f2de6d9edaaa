#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::streams {

/** How long a stream is remembered: longer than callers take a stream up again. */
inline constexpr Duration streamLifetime = std::chrono::seconds(60);

/** Software versions of each service's backend servers. */
using ServiceVersions = std::map<ServiceName, std::set<SoftwareVersion>>;

/** @brief Adds the versions of `from`. */
void merge(ServiceVersions& into, const ServiceVersions& from);
/** @return The versions that both have. */
[[nodiscard]] ServiceVersions common(const ServiceVersions& left, const ServiceVersions& right);
[[nodiscard]] bool contains(
    const ServiceVersions& versions, const ServiceName& service, const SoftwareVersion& version);

/**
 * @brief What one incarnation of a router states in the log of the streams that began there.
 *
 * Its statements stay true, whenever they are read: a late or repeated write does no harm.
 */
struct VersionRecord {
    /** The versions at which streams may have begun. */
    ServiceVersions versions;
    /** Streams that began lately, with their versions. */
    std::map<StreamId, SoftwareVersion> streams;

    [[nodiscard]] bool operator==(const VersionRecord&) const = default;
};

/** @return The record's bytes, a `proto::streams::VersionRecord`. */
[[nodiscard]] std::string encode(const VersionRecord& record);
/** @return The record; nullopt: the bytes can't be read. */
[[nodiscard]] std::optional<VersionRecord> decodeVersionRecord(std::string_view bytes);

} // namespace swiftlift::streams
