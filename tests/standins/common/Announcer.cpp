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
}

void Announcer::onRequest(Exchange& exchange)
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch());
    arrivals_.push_back(now.count());
    if (!limit_.empty()) {
        exchange.setHeader(names_.limit, limit_);
    }
    if (leaving_) {
        exchange.setHeader(names_.leaving, "1");
    }
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
