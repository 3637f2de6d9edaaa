#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::routing::internal {

/** @brief This router's part of the room of a brittle backend server. */
struct RoomPart {
    /** Requests that this router may always have in progress there; the parts of all routers together fit in. */
    std::uint32_t guaranteed = 0;
    /** Requests that the server can turn away in a second without crashing. */
    double bearable = 1;
    /** Time between two requests of this router, so that it learns of others' refusals in between. */
    Duration gap {};
    /** From 0 to 1, different for each router: so that not all try again at the same moment. */
    double rank = 0;
};

/** @brief Whether a server has room for one more request of this router. */
enum class RoomUse : std::uint8_t {
    /** There is room, as far as is known. */
    Free,
    /** It may be used if no other server has room: the server may have to turn the request away. */
    Trial,
    /** None. */
    None,
};

/**
 * @brief Limits the requests of this router in progress at one backend server that crashes if it has to turn many away.
 *
 * Load pattern: many routers fill a server with requests that last from milliseconds to minutes. A bound on the rate
 * would let a full server turn requests away until the long ones end. So each router has a part of the server's room,
 * which needs no message; room that others leave unused is found by trials, one at a time, whose success makes room for
 * as many requests for a while. A request that any router has turned away ends trials for a pause, and leaves each
 * router what it has in progress, at most its part.
 */
class RoomLimiter {
public:
    /** @param part The part of the room; nullopt: the server is not brittle. */
    void setPart(const std::optional<RoomPart>& part);

    /** @param inProgress Requests of this router in progress there. */
    [[nodiscard]] RoomUse use(std::uint32_t inProgress, Instant now) const noexcept;
    /** @return Requests that this router may have in progress without a trial; 0 if the server is not brittle. */
    [[nodiscard]] std::uint32_t allowed(Instant now) const noexcept { return part_ ? level(now) : 0; }
    /** @return This router's part, whatever is known of refusals; 0 if the server is not brittle. */
    [[nodiscard]] std::uint32_t part() const noexcept { return part_ ? part_->guaranteed : 0; }
    /** @return Requests that have ended for this router and may still run there. */
    [[nodiscard]] std::uint32_t held(Instant now) const noexcept { return occupied(0, now); }
    /** @return When there may be room again, as far as is known. */
    [[nodiscard]] Instant freeAt(std::uint32_t inProgress, Instant now) const noexcept;

    /**
     * @param inProgress Requests in progress, without this one.
     * @return True if the request is a trial.
     */
    bool onDispatched(std::uint32_t inProgress, Instant now);
    /**
     * @brief Records that the server turned away a request of this router that was no trial: its room is smaller than
     * the parts of all routers, for a while.
     * @param inProgress Requests of this router that go on there.
     */
    void onPartRefused(std::uint32_t inProgress, Instant at);
    /**
     * @brief Records that a request was cancelled: the server may go on with it.
     * @param until When the server has ended it, as far as can be expected.
     */
    void onCancelled(Instant until, Instant now);
    /**
     * @brief Records that the server turned a request away, of this or another router.
     * @param inProgress Requests of this router that go on there.
     * @param at When it did.
     * @param drainTime Time in which the server ends what fills it.
     */
    void onTurnedAway(std::uint32_t inProgress, Instant at, Duration drainTime);
    /** @brief Records that another server of the service turned a request away: this one may be full, too. */
    void onServiceTurnedAway(Instant at);
    /** @brief Forgets what is in progress, after the server restarted. */
    void clear() noexcept;

private:
    /** Maximum number of cancelled requests that count; more than one router has in progress at a server. */
    static constexpr std::size_t maxCancelled = 64;

    [[nodiscard]] std::uint32_t occupied(std::uint32_t inProgress, Instant now) const noexcept;
    /** @return Requests that this router may have in progress without a trial. */
    [[nodiscard]] std::uint32_t level(Instant now) const noexcept;
    [[nodiscard]] std::uint32_t reducedPart(Instant now) const noexcept;
    [[nodiscard]] bool mayTry(Instant now) const noexcept;
    [[nodiscard]] Duration pause() const noexcept;

    std::optional<RoomPart> part_;
    /** After a request was turned away: what may be in progress until the server has had time to empty. */
    std::uint32_t drainLevel_ = 0;
    Instant drainEnd_ {};
    /** After a request within the part was turned away: what may be in progress until the end of the time. */
    std::uint32_t reducedPart_ = 0;
    Instant reducedUntil_ {};
    /** How long the last reduction lasted; 0: there was none. */
    Duration reduction_ {};
    /** Until then, nothing is sent beyond the part. */
    Instant pauseEnd_ {};
    /** Pauses that followed each other without a quiet time between. */
    std::uint32_t pausesInRow_ = 0;
    Instant lastSent_ {};
    Instant lastTrial_ {};
    /** When the requests that were cancelled are expected to end, in order of their cancelling. */
    std::deque<Instant> cancelled_;
};

} // namespace swiftlift::routing::internal
