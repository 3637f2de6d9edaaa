#pragma once

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
};

/** Has a stand-in state its limit, its leaving and its rest in its answers, and records when requests arrive. */
class Announcer {
public:
    explicit Announcer(AnnouncementNames names);

    /**
     * Adds `announce_limit` (requests a second from all routers; null: none), `announce_leaving` (true or false),
     * `rest_s` (requests are turned away with 503 and this `Retry-After`; 0: they are not) and `rest_count` (how many
     * requests are turned away so, all by default).
     */
    void addControls(Controls& controls);

    /** Records a request and adds the headers to its answer. */
    void onRequest(Exchange& exchange);
    /** @return Whether the request is to be turned away; the answer then has `Retry-After`. */
    [[nodiscard]] bool turnsAway(Exchange& exchange);

    /** @return Milliseconds of the steady clock at which requests arrived, in order. */
    [[nodiscard]] const std::vector<std::int64_t>& arrivals() const noexcept { return arrivals_; }

private:
    AnnouncementNames names_;
    std::string limit_;
    bool leaving_ = false;
    double restSeconds_ = 0;
    std::uint64_t restsLeft_ = UINT64_MAX;
    std::vector<std::int64_t> arrivals_;
};

} // namespace swiftlift::standins
