#include "routing/PrefixLengths.h"

#include <utility>

namespace swiftlift::routing {

void PrefixLengths::add(std::uint64_t prefix, Tokens cached)
{
    if (recent_.size() >= capacity_ && !recent_.contains(prefix)) {
        older_ = std::exchange(recent_, {});
    }
    recent_[prefix] = cached;
}

std::optional<Tokens> PrefixLengths::of(std::uint64_t prefix) const
{
    for (const Lengths* lengths : { &recent_, &older_ }) {
        if (const auto found = lengths->find(prefix); found != lengths->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

} // namespace swiftlift::routing
