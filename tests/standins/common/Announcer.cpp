#include "common/Announcer.h"

#include <utility>

namespace swiftlift::standins {

Announcer::Announcer(AnnouncementNames names)
    : names_(std::move(names))
{
}

void Announcer::addControls(Controls& controls)
{
    controls.add("announce_limit", [this](const Json& value, Json&) {
        limit_ = value.is_null() ? std::string {} : Json(value.get<double>()).dump();
    });
    controls.addValue("announce_leaving", leaving_);
    controls.addValue("rest_s", restSeconds_);
    controls.addValue("rest_count", restsLeft_);
    controls.add("brittle", [this](const Json& value, Json&) {
        brittle_ = value.is_null() ? std::nullopt : std::optional(value.get<double>());
    });
    controls.addValue("brittle_room", room_);
    controls.addValue("run_on_ms", runOnMs_);
}

void Announcer::onRequest(Exchange& exchange)
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch());
    arrivals_.push_back(now.count());
    if (!limit_.empty()) {
        exchange.setHeader(names_.limit, limit_);
    }
    if (brittle_) {
        exchange.setHeader(names_.brittle, Json(*brittle_).dump());
    }
    if (leaving_) {
        exchange.setHeader(names_.leaving, "1");
    }
}

void Announcer::release(bool callerLeft)
{
    --running_;
    if (callerLeft && runOnMs_ > 0) {
        runsOnUntil_.push_back(Clock::now() + toClock(Milliseconds(runOnMs_)));
    }
}

bool Announcer::admits()
{
    const auto now = Clock::now();
    std::erase_if(runsOnUntil_, [now](Clock::time_point until) { return until <= now; });
    if (!brittle_ || running_ + runsOnUntil_.size() < room_) {
        ++running_;
        return true;
    }
    constexpr std::chrono::seconds span { 1 };
    ++refusedForRoom_;
    turnedAway_.push_back(now);
    while (now - turnedAway_.front() > span) {
        turnedAway_.pop_front();
    }
    if (static_cast<double>(turnedAway_.size()) > *brittle_) {
        ++falls_;
        turnedAway_.clear();
    }
    return false;
}

bool Announcer::turnsAway(Exchange& exchange)
{
    if (restSeconds_ <= 0 || restsLeft_ == 0) {
        return false;
    }
    --restsLeft_;
    exchange.setHeader("Retry-After", Json(restSeconds_).dump());
    return true;
}

} // namespace swiftlift::standins
