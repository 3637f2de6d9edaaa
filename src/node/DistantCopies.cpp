#include "node/DistantCopies.h"

#include <utility>

namespace swiftlift::node {

void DistantCopies::leadTo(std::optional<Incarnation> first, std::optional<Incarnation> second)
{
    // A second keeper that takes over keeps what it has acknowledged.
    const bool takesOver = first && first == second_.keeper() && first != first_.keeper();
    if (takesOver) {
        std::swap(first_, second_);
    }
    first_.leadTo(first);
    second_.leadTo(second);
}

std::vector<CopiesDue> DistantCopies::due(const ledger::Outbox& outbox, Duration period, Instant now)
{
    std::vector<CopiesDue> all;
    for (CopyRoute* route : { &first_, &second_ }) {
        if (ledger::Batch batch = route->due(outbox, period, now); !batch.items.empty()) {
            all.push_back({ *route->keeper(), std::move(batch) });
        }
    }
    return all;
}

void DistantCopies::onCopied(Incarnation from, std::uint64_t sequence, std::uint64_t last, Instant now)
{
    first_.onCopied(from, sequence, last, now);
    second_.onCopied(from, sequence, last, now);
}

bool DistantCopies::secures(std::uint64_t sequence, Instant now) const noexcept
{
    const bool atFirst = first_.holds(sequence);
    const bool atSecond = second_.holds(sequence);
    return (atFirst && (atSecond || !second_.inTouch(now))) || (atSecond && !first_.inTouch(now));
}

std::vector<Incarnation> DistantCopies::keepersOf(std::uint64_t sequence) const
{
    std::vector<Incarnation> keepers;
    for (const CopyRoute* route : { &first_, &second_ }) {
        if (route->holds(sequence)) {
            keepers.push_back(*route->keeper());
        }
    }
    return keepers;
}

std::vector<Incarnation> DistantCopies::inTouch(Instant now) const
{
    std::vector<Incarnation> keepers;
    for (const CopyRoute* route : { &first_, &second_ }) {
        if (route->inTouch(now)) {
            keepers.push_back(*route->keeper());
        }
    }
    return keepers;
}

} // namespace swiftlift::node
