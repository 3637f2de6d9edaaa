#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "routing/AnnouncementBook.h"
#include "routing/ArrivalLimiter.h"
#include "routing/Breaker.h"
#include "routing/LoadEstimate.h"
#include "routing/PrefillModel.h"
#include "routing/PrefixCache.h"
#include "routing/RequestStatistics.h"
#include "routing/RoomLimiter.h"
#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/routing/BackendTable.h"

namespace swiftlift::routing {

/** @brief An attempt of this router that is no longer in progress. */
struct EndedAttempt {
    Instant sentAt;
    RoomPlace place = RoomPlace::Part;
    /** Memory of the request, at most; 0: not known. */
    Tokens memory;
};

/** @brief Estimated state of one backend server; the entry of BackendTable. */
class Backend {
public:
    Backend(BackendEntry entry, const TableSettings& settings, PrefillModel& prefill, PrefixLengths& lengths,
        internal::RequestStatistics& requests, std::uint64_t seed);

    // The notifications are those of BackendTable.
    /** @return True if the report shows that the backend server has restarted. */
    bool onLoad(const LoadReport& report, Instant now);
    void onLoadMissed(Instant now);
    void onCacheEvents(const std::vector<CacheNotice>& events) { cache_.onEvents(events); }
    void onDispatched(AttemptId attempt, const DispatchFacts& facts, Instant now);
    void onFirstToken(AttemptId attempt, Instant now);
    /** @return The attempt; nullopt: it is unknown. */
    std::optional<EndedAttempt> onFinished(AttemptId attempt, const FinishFacts& facts, Instant now);
    void onLeaving(Instant now);

    void forgetFailures();
    /**
     * @brief Processes that the server turned a request away at `at`, whichever router sent it.
     * @return False if that was known.
     */
    bool onTurnedAway(Instant at);
    /** @brief Processes that an answer of the server has begun. */
    void onHeard(Instant now) noexcept { heardAt_ = now; }
    /** @brief Processes that another server of the service turned a request away. */
    void onServiceTurnedAway(Instant at) { room_.onServiceTurnedAway(at); }

    [[nodiscard]] BackendView view(const ViewRequest& request, Instant now) const;
    /** @return The models of the last load report. */
    [[nodiscard]] const std::set<std::string>& models() const noexcept { return models_; }
    /** @return True if no attempt of this router is in progress there. */
    [[nodiscard]] bool idle() const noexcept { return load_.inFlight() == 0; }
    /** @return What this router takes for its room there; `routers` and `listAge` are the table's. */
    [[nodiscard]] RoomFacts room(Instant now) const;
    /** @return Number of attempts of this router in progress there. */
    [[nodiscard]] std::uint32_t inFlight() const noexcept { return load_.inFlight(); }
    /** @return This router's requests there. */
    [[nodiscard]] ServerLoad ownLoad() const;
    /** @return Mean time between events of the streams that ended since the last call; nullopt: none did. */
    [[nodiscard]] std::optional<Duration> takePace() noexcept { return std::exchange(pace_, std::nullopt); }
    /** @return Estimated number of requests that the server runs at once. */
    [[nodiscard]] std::uint32_t slots() const noexcept { return load_.slots(); }
    /** @return Estimated number of requests that the server has room for at once, by its slots and by its memory. */
    [[nodiscard]] std::uint32_t places() const;
    /** @param count Maximum number of prefixes to remember. */
    void setPrefixesKept(std::size_t count) { cache_.setCapacity(count); }
    /** @brief Updates the entry of the service's document. A new instance resets the estimates of the last one.
     */
    void setEntry(const BackendEntry& entry, Instant now);
    [[nodiscard]] const BackendEntry& entry() const noexcept { return entry_; }
    /** @return Names the instance of `entry()`. */
    [[nodiscard]] ServerKey key() const noexcept { return key_; }
    /** @param limit What this router may send for this cause; nullopt: no limit. */
    void setLimit(LimitCause cause, const std::optional<internal::ArrivalLimit>& limit)
    {
        arrivals_.setLimit(cause, limit);
    }
    /** @param part This router's part of the room of a brittle server; nullopt: it is not known to be brittle. */
    void setRoomPart(const std::optional<internal::RoomPart>& part, Instant now) { room_.setPart(part, now); }
    /** @brief Processes that a former process of this router may have left requests behind there. */
    void onFormerProcess(const internal::FormerProcess& former) noexcept { room_.onFormerProcess(former); }
    /** @return True if the server is brittle, or may be. */
    [[nodiscard]] bool isRoomLimited() const noexcept { return room_.isLimited(); }
    /** @return True if the server has lately answered, so that it would have stated what it states in its answers. */
    [[nodiscard]] bool isHeard(Instant now) const noexcept;
    /** @param announced What the backend server has stated; null: nothing. */
    void setAnnounced(const internal::KnownAnnouncement* announced, Instant now);

private:
    /** @brief An attempt of this router in progress. */
    struct SentAttempt {
        DispatchFacts facts;
        Instant at;
        /** Prompt tokens that were expected not to be cached. */
        Tokens uncached;
        /** Predicted time to first token, without `offset_`. */
        Duration predicted {};
        /** Requests waited at the backend server when the attempt was sent. */
        bool waited = false;
        /** The first token has arrived. */
        bool answered = false;
        RoomPlace place = RoomPlace::Part;
    };

    /** @brief The backend server announced that it is leaving. */
    struct LeavingState {
        Instant lastAnnounced;
        /** Generation that announced it; nothing until a load report has shown it. */
        std::optional<std::uint64_t> generation;
    };

    /** @brief Resets what a restart of the backend server makes void, and begins a slow start. */
    void resetForRestart(Instant now);
    /** @brief Subtracts the attempt's prompt from `unread_` unless its first token has arrived: the prompt has been
     * prefilled, or never will be. */
    void subtractUnread(const SentAttempt& sent);
    /** @return True if the backend server counts as restarted because it no longer announces its leaving. */
    bool updateLeaving(const LoadReport& report, Instant now);
    /** @return When the server has ended the request at the latest, as far as can be expected. */
    [[nodiscard]] Instant expectedEnd(const SentAttempt& sent) const;
    void processEnd(AttemptId attempt, const FinishFacts& facts, Instant now);
    [[nodiscard]] BackendState state(Instant now) const;
    [[nodiscard]] bool paused(Instant now) const;
    [[nodiscard]] bool resting(Instant now) const noexcept { return now < restUntil_; }
    /** @return False if no request may be sent now, whatever the breaker and the load. */
    [[nodiscard]] bool mayGetRequests(Instant now) const;
    /** @return Whether the server has room for one more request, if it is brittle or may be. */
    [[nodiscard]] internal::RoomUse roomUse(Instant now) const noexcept;
    [[nodiscard]] bool usable(Instant now) const;
    [[nodiscard]] bool lastResort(Instant now) const;
    [[nodiscard]] std::optional<Instant> usableAt(Instant now) const;
    /** @return Predicted time to first token without the measured offset, for this many uncached prompt tokens. */
    [[nodiscard]] Duration predict(Tokens uncached, Instant now) const;
    /** @return `offset_`, decayed since it was updated last. */
    [[nodiscard]] Duration offset(Instant now) const;

    BackendEntry entry_;
    ServerKey key_;
    /** Hash of the server's id. */
    std::uint64_t nameHash_;
    TableSettings settings_;
    PrefillModel* prefill_;
    internal::RequestStatistics* requests_;
    LoadEstimate load_;
    PrefixCache cache_;
    Breaker breaker_;
    internal::ArrivalLimiter arrivals_;
    /** The limit that the backend server names, in requests per second, and when it was last known to name it. */
    std::optional<double> announcedLimit_;
    Instant limitStatedAt_ {};
    /** Until when the backend server wants no requests of this router. */
    Instant restUntil_ {};
    internal::RoomLimiter room_;
    /** When the server last answered. */
    std::optional<Instant> heardAt_;
    /** The last refusal by the brittle server that was heeded. */
    std::optional<Instant> turnedAwayAt_;
    std::map<AttemptId, SentAttempt> sent_;
    /** Sum of the uncached prompt tokens of attempts in `sent_` without a first token. */
    Tokens unread_;
    /** Sum of the maximum memory of attempts in `sent_`. */
    Tokens memory_;
    /** Mean time between events of the streams that ended since takePace(). */
    std::optional<Duration> pace_;
    std::set<std::string> models_;
    /** A load report has arrived. */
    bool reported_ = false;
    /** Generation of the last load report. */
    std::optional<std::uint64_t> generation_;
    std::optional<LeavingState> leaving_;
    /** The last poll for a load report failed. */
    bool lastPollFailed_ = false;
    /** False after an attempt broke or a poll failed, until an attempt is answered, even with a failure. */
    bool answers_ = true;
    /** The backend server refused a request as full; nothing is sent until then. */
    std::optional<Instant> pausedUntil_;
    /** Moving average of how much later than predicted first tokens arrive. */
    Duration offset_ {};
    /** When `offset_` was updated last. */
    Instant offsetAt_ {};
    Duration predictionError_ {};
};

} // namespace swiftlift::routing
