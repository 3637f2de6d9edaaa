#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::streams {

/**
 * @brief Remembers at which software version streams began, for a limited time.
 *
 * A caller whose stream broke takes it up again at any router, which may continue it only at that version. Bounded: if
 * it is full, the oldest stream is forgotten.
 */
class VersionBook {
public:
    /**
     * @param capacity Maximum number of streams; more than 0.
     * @param lifetime How long a stream is remembered.
     */
    VersionBook(std::size_t capacity, Duration lifetime);

    /** @brief Remembers a stream. The first version that is given for a stream stays. */
    void add(const StreamId& stream, const SoftwareVersion& version, Instant now);
    /** @return The version at which the stream began; nullopt: not known. */
    [[nodiscard]] std::optional<SoftwareVersion> find(const StreamId& stream, Instant now);
    [[nodiscard]] std::size_t size() const noexcept { return versions_.size(); }
    /** @return All remembered streams with their versions. */
    [[nodiscard]] const std::unordered_map<StreamId, SoftwareVersion>& streams() const noexcept { return versions_; }

private:
    void removeOld(Instant now);

    std::size_t capacity_;
    Duration lifetime_;
    std::unordered_map<StreamId, SoftwareVersion> versions_;
    /** Streams in the order in which they were added, with the time of that. */
    std::deque<std::pair<Instant, StreamId>> order_;
};

} // namespace swiftlift::streams
