#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/routing/Announcement.h"

namespace swiftlift::routing::internal {

/** @brief A number that a backend server states about itself for as long as it holds. */
struct StatedNumber {
    /** nullopt: it states none, or no more. */
    std::optional<double> value;
    /** When the server was last known to state this number, or none; nullopt: nothing is known. */
    std::optional<Instant> statedAt;

    [[nodiscard]] bool operator==(const StatedNumber&) const = default;
};

/** @brief What is known of one backend server's announcements. */
struct KnownAnnouncement {
    /** Start time of the instance that stated this; 0 if instances are not told apart. */
    std::uint64_t instance = 0;
    /** Requests per second that it accepts from all routers together. */
    StatedNumber limit;
    /** Requests that it can turn away in a second without crashing. */
    StatedNumber brittle;
    /** When it last turned a request away while it was brittle. */
    std::optional<Instant> turnedAwayAt;
    /** When any of this last changed for this router. */
    Instant changedAt {};
    /** When it last stated that it is leaving; nullopt: it is not known to. An instance never takes it back. */
    std::optional<Instant> leavingStatedAt;
    /** When it was seen to have restarted without a new start time. */
    Instant restartedAt {};
    /** Until when it wants no requests of this router. */
    Instant restUntil {};
};

/**
 * @brief What backend servers have stated about themselves, from their answers and from other routers.
 *
 * It outlives the servers' entries in the table: entries of running servers lapse and return.
 */
class AnnouncementBook {
public:
    /**
     * @brief Processes the head of an answer.
     * @return True if what is known of the server's limit or leaving has changed.
     */
    bool onAnnounced(const BackendId& backend, std::uint64_t instance, const Announcement& announcement, Instant now);
    /**
     * @brief Processes the end of an answer: a server that no longer names its limit has withdrawn it.
     * @param sentAt When the request was sent. An answer to a request that was sent before the limit was stated may
     * have been made before it, too.
     * @return True if what is known of the server has changed.
     */
    bool onAnswered(const BackendId& backend, std::uint64_t instance, const Announcement& announcement, Instant sentAt,
        Instant now);
    /**
     * @brief Processes what another router knows; what was stated last counts.
     * @return True if what is known of the server has changed.
     */
    bool onShared(const SharedAnnouncement& shared, Instant now);
    /**
     * @brief Processes that the server turned a request away.
     * @return True if it is brittle, and was not known to have done so lately.
     */
    bool onTurnedAway(const BackendId& backend, std::uint64_t instance, Instant now);
    /** @brief Forgets a server that has restarted without a new id or start time. */
    void onRestarted(const BackendId& backend, Instant now);

    /** @return What this instance of the server has stated; null: nothing. */
    [[nodiscard]] const KnownAnnouncement* find(const BackendId& backend, std::uint64_t instance) const;
    [[nodiscard]] AnnouncementCounts counts(Instant now) const;
    /** @return What to tell another router now: recent changes first, then some of the rest in turn. */
    [[nodiscard]] std::vector<SharedAnnouncement> toShare(Instant now) const;

private:
    /** Number of servers that are remembered. */
    static constexpr std::size_t maxServers = 16'384;
    /** Number of servers in one message to another router. */
    static constexpr std::size_t maxShared = 32;
    /** How long a change is told first, and a withdrawn limit at all. */
    static constexpr Duration changeLifetime = std::chrono::seconds(5);
    /** How long routers are told that a server is leaving: much longer than it serves. */
    static constexpr Duration leavingLifetime = std::chrono::minutes(1);
    /** Time in which routers are told once that a server turns requests away. */
    static constexpr Duration turnedAwayPeriod = std::chrono::milliseconds(300);
    /** Time after which the next servers are told in turn. */
    static constexpr Duration sharePeriod = std::chrono::milliseconds(500);

    /** @return The record of the instance; null: a later instance is known. */
    [[nodiscard]] KnownAnnouncement* record(const BackendId& backend, std::uint64_t instance, Instant now);
    /** @return True if this is new. */
    static bool setLeaving(KnownAnnouncement& known, Instant statedAt, Instant now);
    /** @return True if the number has changed. */
    static bool setNumber(
        KnownAnnouncement& known, StatedNumber& number, std::optional<double> value, Instant statedAt, Instant now);
    /** @brief Withdraws a number that an answer to a request sent at this time does not state. @return True if it was
     * withdrawn. */
    static bool withdraw(KnownAnnouncement& known, StatedNumber& number, Instant sentAt, Instant now);
    /** @return True if the number has changed. */
    static bool applyShared(KnownAnnouncement& known, StatedNumber& number, std::optional<double> value,
        std::optional<Duration> age, Instant now);
    static bool applySharedTurnedAway(KnownAnnouncement& known, const SharedAnnouncement& shared, Instant now);
    /** @return True if the leaving is new. */
    static bool applySharedLeaving(KnownAnnouncement& known, const SharedAnnouncement& shared, Instant now);
    [[nodiscard]] static bool isWorthSharing(const KnownAnnouncement& known, Instant now);
    /** @return True if the server has stated something that still counts. */
    [[nodiscard]] static bool isInForce(const KnownAnnouncement& known, Instant now);
    void removeOld(Instant now);

    std::map<BackendId, KnownAnnouncement> servers_;
};

} // namespace swiftlift::routing::internal
