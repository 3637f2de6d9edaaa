#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <string>

#include "common/Types.h"

namespace swiftlift::standins {

/** Cache events, published late and with gaps. */
class CacheEvents {
public:
    /**
     * @param lag From an event to its publication.
     * @param gap Probability that an event is never published.
     * @param seed Of the losses.
     */
    CacheEvents(Milliseconds lag, double gap, std::uint64_t seed);

    /** @param kind `stored` or `evicted`. */
    void add(std::string kind, std::uint64_t prefix);

    /** @return The body of `GET /cache-events`. */
    [[nodiscard]] Json read(std::uint64_t from) const;

    void setLag(Milliseconds lag) { lag_ = toClock(lag); }
    void setGap(double gap) noexcept { gap_ = gap; }

private:
    struct Event {
        std::uint64_t sequence = 0;
        std::string kind;
        std::uint64_t prefix = 0;
        Clock::time_point happened;
        bool lost = false;
    };

    Clock::duration lag_;
    double gap_;
    std::mt19937_64 random_;
    std::uint64_t next_ = 0;
    std::deque<Event> events_;
};

} // namespace swiftlift::standins
