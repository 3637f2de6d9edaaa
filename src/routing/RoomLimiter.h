#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/routing/BackendTable.h"

namespace swiftlift::routing::internal {

/** @brief This router's part of the room of a brittle backend server. */
struct RoomPart {
    /** Requests that this router may always have in progress there; the parts of all routers together fit in. */
    std::uint32_t guaranteed = 0;
    /** Requests that the server can turn away in a second without crashing. */
    double bearable = 1;
    /** Time between two requests of this router, so that it learns of others' refusals in between. */
    Duration gap {};
    /** Time between two trials of this router. */
    Duration trialGap {};
    /** From 0 to 1, different for each router: so that not all try again at the same moment. */
    double rank = 0;
};

/** @brief What a router that has just started doesn't know of a server. */
struct FormerProcess {
    /** When it has heard whether the server turns requests away. */
    Instant newsAt {};
    /** When the requests that its last process has sent have ended. */
    Instant runsEnd {};
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
 * which needs no message; room that others leave unused is found by trials, one at a time. A request that ends for this
 * router only keeps its place until the server has ended it.
 *
 * The parts may be more than the room: a router can't know all that holds it. After a refusal each router keeps what it
 * has in progress, and gets the rest of its part back by trials that the fleet makes one after the other. So do a
 * router that has just started and one whose part has grown. A refusal ends the trials of all routers for a pause.
 */
class RoomLimiter {
public:
    /**
     * @param part The part of the room; nullopt: the server is not brittle.
     * @param now The current time.
     */
    void setPart(const std::optional<RoomPart>& part, Instant now);

    /** @param inProgress Requests of this router in progress there. */
    [[nodiscard]] RoomUse use(std::uint32_t inProgress, Instant now) const noexcept;
    /** @return True if the server is brittle, or may be. */
    [[nodiscard]] bool isLimited() const noexcept { return part_.has_value(); }
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
     * @brief Records that the server turned away a request of this router.
     * @param place Which place it was sent for.
     * @param inProgress Requests of this router that go on there.
     * @param runTime Mean time for which a request runs there.
     */
    void onOwnRefused(RoomPlace place, std::uint32_t inProgress, Instant at, Duration runTime);
    /**
     * @brief Records that a request ended for this router while the server may go on with it.
     * @param until When the server has ended it, as far as can be expected.
     */
    void onLeftBehind(Instant until, Instant now);
    /**
     * @brief Records that the server turned a request away, of this or another router.
     * @param inProgress Requests of this router that go on there.
     * @param at When it did.
     * @param drainTime Time in which the server ends what fills it.
     */
    void onTurnedAway(std::uint32_t inProgress, Instant at, Duration drainTime);
    /** @brief Records that another server of the service turned a request away: this one may be full, too. */
    void onServiceTurnedAway(Instant at);
    /** @brief Records that an unknown number of requests of this router may run there. */
    void onFormerProcess(const FormerProcess& former) noexcept;
    /** @brief Forgets what is in progress, after the server restarted. */
    void clear() noexcept;

private:
    /** Maximum number of requests left behind that count; more than one router has in progress at a server. */
    static constexpr std::size_t maxLeftBehind = 256;

    /** @return Places that this router's requests take: those in progress and those left behind. */
    [[nodiscard]] std::uint32_t occupied(std::uint32_t inProgress, Instant now) const noexcept;
    /** @return Requests that this router may have in progress without a trial. */
    [[nodiscard]] std::uint32_t level(Instant now) const noexcept;
    /** @param taken Places that this router's requests take. @return When a trial may be sent. */
    [[nodiscard]] Instant nextTrial(std::uint32_t taken) const noexcept;
    [[nodiscard]] bool mayTry(std::uint32_t taken, Instant now) const noexcept;
    /** @return Pause of the first router after a refusal that follows no other. */
    [[nodiscard]] Duration shortPause() const noexcept;
    /** @return Time by which this router's trials begin later than those of the first router. */
    [[nodiscard]] Duration spread() const noexcept;
    [[nodiscard]] Duration pause() const noexcept;
    /** @brief Keeps to what is in progress for a time. */
    void shrink(std::uint32_t inProgress, Instant at, Duration runTime);

    std::optional<RoomPart> part_;
    /** After a request was turned away: what may be in progress until the server has had time to empty. */
    std::uint32_t drainLevel_ = 0;
    Instant drainEnd_ {};
    /** Requests of this router that the server is known to have room for, until the end of the time. */
    std::uint32_t provenLevel_ = 0;
    Instant provenUntil_ {};
    /** How long the last such time was; 0: there was none. */
    Duration provenTime_ {};
    /** Until then, no trial is made. */
    Instant pauseEnd_ {};
    /** Until then, no trial beyond the part is made, as another server of the service is full. */
    Instant servicePauseEnd_ {};
    /** Pauses that followed each other without a quiet time between. */
    std::uint32_t pausesInRow_ = 0;
    /** Until then, this router has not heard what its peers know of the server. */
    Instant newsAt_ {};
    Instant lastSent_ {};
    Instant lastTrial_ {};
    /** When the requests are expected to end that ended only for this router, in the order in which they did. */
    std::deque<Instant> leftBehind_;
};

} // namespace swiftlift::routing::internal
