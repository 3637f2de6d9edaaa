#include "engine/CacheEvents.h"

#include "common/Text.h"

namespace swiftlift::standins {

namespace internal {

    constexpr std::size_t keptEvents = 10000;
    constexpr std::size_t mostEventsRead = 1000;

} // namespace internal

CacheEvents::CacheEvents(Milliseconds lag, double gap, std::uint64_t seed)
    : lag_(toClock(lag))
    , gap_(gap)
    , random_(seed)
{
}

void CacheEvents::add(std::string kind, std::uint64_t prefix)
{
    const bool lost = gap_ > 0 && std::uniform_real_distribution<double>()(random_) < gap_;
    events_.push_back({ next_++, std::move(kind), prefix, Clock::now(), lost });
    if (events_.size() > internal::keptEvents) {
        events_.pop_front();
    }
}

Json CacheEvents::read(std::uint64_t from) const
{
    const auto moment = Clock::now() - lag_;
    auto next = from;
    Json events = Json::array();
    for (const auto& event : events_) {
        if (event.happened > moment || events.size() >= internal::mostEventsRead) {
            break;
        }
        if (event.sequence < from) {
            continue;
        }
        next = event.sequence + 1;
        if (!event.lost) {
            events.push_back({ { "seq", event.sequence }, { "kind", event.kind }, { "prefix", toHex(event.prefix) } });
        }
    }
    return { { "next", next }, { "events", std::move(events) } };
}

} // namespace swiftlift::standins
