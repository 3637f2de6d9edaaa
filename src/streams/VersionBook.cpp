#include "swiftlift/streams/VersionBook.h"

#include <cassert>

namespace swiftlift::streams {

VersionBook::VersionBook(std::size_t capacity, Duration lifetime)
    : capacity_(capacity)
    , lifetime_(lifetime)
{
    assert(capacity > 0 && "a book without room remembers nothing");
}

void VersionBook::removeOld(Instant now)
{
    while (!order_.empty() && (order_.size() > capacity_ || order_.front().first + lifetime_ < now)) {
        versions_.erase(order_.front().second);
        order_.pop_front();
    }
}

void VersionBook::add(const StreamId& stream, const SoftwareVersion& version, Instant now)
{
    if (versions_.try_emplace(stream, version).second) {
        order_.emplace_back(now, stream);
    }
    removeOld(now);
}

std::optional<SoftwareVersion> VersionBook::find(const StreamId& stream, Instant now)
{
    removeOld(now);
    const auto found = versions_.find(stream);
    return found == versions_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace swiftlift::streams
