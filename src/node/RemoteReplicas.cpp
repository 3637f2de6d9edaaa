#include "node/RemoteReplicas.h"

#include <utility>

namespace swiftlift::node {

void RemoteReplicas::setTarget(std::optional<Incarnation> first, std::optional<Incarnation> second)
{
    // A second keeper that takes over keeps what it has acknowledged.
    const bool takesOver = first && first == second_.replica() && first != first_.replica();
    if (takesOver) {
        std::swap(first_, second_);
    }
    first_.setTarget(first);
    second_.setTarget(second);
}

std::vector<CopiesDue> RemoteReplicas::due(const ledger::Outbox& outbox, Duration period, Instant now)
{
    std::vector<CopiesDue> all;
    for (ReplicaLink* route : { &first_, &second_ }) {
        if (ledger::Batch batch = route->due(outbox, period, now); !batch.items.empty()) {
            all.push_back({ *route->replica(), std::move(batch) });
        }
    }
    return all;
}

void RemoteReplicas::onCopied(Incarnation from, std::uint64_t sequence, std::uint64_t last, Instant now)
{
    first_.onCopied(from, sequence, last, now);
    second_.onCopied(from, sequence, last, now);
}

bool RemoteReplicas::secures(std::uint64_t sequence, Instant now) const noexcept
{
    const bool atFirst = first_.holds(sequence);
    const bool atSecond = second_.holds(sequence);
    return (atFirst && (atSecond || !second_.inTouch(now))) || (atSecond && !first_.inTouch(now));
}

std::vector<Incarnation> RemoteReplicas::replicasOf(std::uint64_t sequence) const
{
    std::vector<Incarnation> keepers;
    for (const ReplicaLink* route : { &first_, &second_ }) {
        if (route->holds(sequence)) {
            keepers.push_back(*route->replica());
        }
    }
    return keepers;
}

std::vector<Incarnation> RemoteReplicas::inTouch(Instant now) const
{
    std::vector<Incarnation> keepers;
    for (const ReplicaLink* route : { &first_, &second_ }) {
        if (route->inTouch(now)) {
            keepers.push_back(*route->replica());
        }
    }
    return keepers;
}

} // namespace swiftlift::node
