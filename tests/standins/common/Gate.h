#pragma once

#include <set>
#include <string>

#include "common/Controls.h"
#include "common/Exchange.h"

namespace swiftlift::standins {

/** Outages, delays and cuts by source address, in front of a service. */
class Gate {
public:
    /**
     * Adds `outage` (true, false or "hang"), `delay_ms`, `freeze_ms` (holds every call and answer for so long), `block`
     * (source addresses; replaces the list) and `blocked_hang`.
     */
    void addControls(Controls& controls);

    /**
     * @brief Lets a call in, after the delay. Calls held by "hang" come in when that is lifted, unless the caller has
     * gone.
     * @return False when the call has been answered or dropped.
     */
    [[nodiscard]] Awaitable<bool> enter(Exchange& exchange);

    /**
     * @brief Lets an answer out. One to a blocked address is held or dropped, as its calls are; one that an outage has
     * overtaken is dropped.
     * @return False when the caller can't be answered any more.
     */
    [[nodiscard]] Awaitable<bool> leave(Exchange& exchange);

    /** @return When the freeze ends or has ended. */
    [[nodiscard]] Clock::time_point frozenUntil() const noexcept { return frozenUntil_; }

    /** @return How many calls and answers are held now. */
    [[nodiscard]] std::uint64_t held() const noexcept { return held_; }
    /** @return How many calls were refused or dropped. */
    [[nodiscard]] std::uint64_t refused() const noexcept { return refused_; }

private:
    enum class Outage { None, Refuse, Hang };

    [[nodiscard]] bool isBlocked(const Exchange& exchange) const { return blocked_.contains(exchange.remoteAddress()); }
    [[nodiscard]] bool isFrozen() const { return Clock::now() < frozenUntil_; }
    [[nodiscard]] bool holds(const Exchange& exchange) const;
    [[nodiscard]] Awaitable<bool> passAddress(Exchange& exchange);

    Outage outage_ = Outage::None;
    double delayMs_ = 0;
    std::set<std::string> blocked_;
    bool blockedHang_ = false;
    Clock::time_point frozenUntil_ {};
    std::uint64_t held_ = 0;
    std::uint64_t refused_ = 0;
    Signal changed_;
};

} // namespace swiftlift::standins
