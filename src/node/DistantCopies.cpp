#include "node/DistantCopies.h"

#include <utility>

namespace swiftlift::node {

void DistantCopies::leadTo(std::optional<Incarnation> keeper, std::optional<Incarnation> standby)
{
    // A standby that takes over keeps what it has acknowledged.
    const bool takesOver = keeper && keeper == standby_.keeper() && keeper != keeper_.keeper();
    if (takesOver) {
        std::swap(keeper_, standby_);
    }
    keeper_.leadTo(keeper);
    standby_.leadTo(standby);
}

std::vector<CopiesDue> DistantCopies::due(const ledger::Outbox& outbox, Duration period, Instant now)
{
    std::vector<CopiesDue> all;
    const auto take = [&](CopyRoute& route) {
        if (ledger::Batch batch = route.due(outbox, period, now); !batch.items.empty()) {
            all.push_back({ *route.keeper(), std::move(batch) });
        }
    };
    take(keeper_);
    if (!keeper_.inTouch(now) || standby_.owes()) {
        take(standby_);
    }
    return all;
}

void DistantCopies::onCopied(Incarnation from, std::uint64_t sequence, std::uint64_t last, Instant now)
{
    keeper_.onCopied(from, sequence, last, now);
    standby_.onCopied(from, sequence, last, now);
}

std::optional<Incarnation> DistantCopies::keeperOf(std::uint64_t sequence) const noexcept
{
    if (keeper_.holds(sequence)) {
        return keeper_.keeper();
    }
    return standby_.holds(sequence) ? standby_.keeper() : std::nullopt;
}

bool DistantCopies::inTouch(Instant now) const noexcept { return keeper_.inTouch(now) || standby_.inTouch(now); }

std::optional<Incarnation> DistantCopies::current(Instant now) const noexcept
{
    const bool standsIn = !keeper_.inTouch(now) && standby_.inTouch(now);
    return standsIn ? standby_.keeper() : keeper_.keeper();
}

} // namespace swiftlift::node
