#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "common/Controls.h"
#include "common/Exchange.h"
#include "common/Types.h"

namespace swiftlift::standins {

/** Names of the headers in which a stand-in states its limit and that it is leaving. */
struct AnnouncementNames {
    std::string limit;
    std::string leaving;
    std::string brittle;
};

/** Has a stand-in state its limit, its leaving and its rest in its answers, and records when requests arrive. */
class Announcer {
public:
    /** The room that an admitted request takes until it ends, or for `run_on_ms` longer if its caller has left. */
    class Room {
    public:
        Room(Announcer& announcer, const Exchange& exchange) noexcept
            : announcer_(announcer)
            , exchange_(exchange)
        {
        }
        ~Room() { announcer_.release(exchange_.isClosed()); }
        Room(const Room&) = delete;
        Room& operator=(const Room&) = delete;

    private:
        Announcer& announcer_;
        const Exchange& exchange_;
    };

    explicit Announcer(AnnouncementNames names);

    /**
     * Adds `announce_limit` (requests a second from all routers; null: none), `announce_leaving` (true or false),
     * `rest_s` (requests are turned away with 503 and this `Retry-After`; 0: they are not) and `rest_count` (how many
     * requests are turned away so, all by default). `brittle` (null: not) is the number of requests that it can turn
     * away in a second, and `brittle_room` how many it runs at once while it is brittle. `run_on_ms` is the time for
     * which a request goes on after its caller has left.
     */
    void addControls(Controls& controls);

    /** Records a request and adds the headers to its answer. */
    void onRequest(Exchange& exchange);
    /** @return Whether the request is to be turned away; the answer then has `Retry-After`. */
    [[nodiscard]] bool turnsAway(Exchange& exchange);

    /**
     * @brief Starts a request, whose Room must end with it.
     * @return False if there is no room for it; it is then to be turned away.
     */
    [[nodiscard]] bool admits();
    /** @return Number of times that more requests were turned away in a second than a brittle server bears. */
    [[nodiscard]] std::uint64_t falls() const noexcept { return falls_; }
    /** @return Number of requests that were turned away for want of room while the server was brittle. */
    [[nodiscard]] std::uint64_t refusedForRoom() const noexcept { return refusedForRoom_; }
    /** @return Milliseconds of the steady clock at which requests arrived, in order. */
    [[nodiscard]] const std::vector<std::int64_t>& arrivals() const noexcept { return arrivals_; }

private:
    /** Ends a request. */
    void release(bool callerLeft);

    AnnouncementNames names_;
    std::string limit_;
    bool leaving_ = false;
    double restSeconds_ = 0;
    std::uint64_t restsLeft_ = UINT64_MAX;
    std::vector<std::int64_t> arrivals_;
    std::optional<double> brittle_;
    std::uint64_t room_ = 1;
    std::uint64_t running_ = 0;
    /** When requests end whose callers have left. */
    std::deque<Clock::time_point> runsOnUntil_;
    double runOnMs_ = 0;
    std::uint64_t refusedForRoom_ = 0;
    std::deque<Clock::time_point> turnedAway_;
    std::uint64_t falls_ = 0;
};

} // namespace swiftlift::standins
