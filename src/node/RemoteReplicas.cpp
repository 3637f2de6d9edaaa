#include "node/RemoteReplicas.h"

#include <utility>

namespace swiftlift::node {

void RemoteReplicas::setTarget(std::optional<Incarnation> first, std::optional<Incarnation> second)
{
    // When the second replica becomes the first, its acknowledgements remain valid.
    const bool takesOver = first && first == second_.replica() && first != first_.replica();
    if (takesOver) {
        std::swap(first_, second_);
    }
    first_.setTarget(first);
    second_.setTarget(second);
}

std::vector<CopiesDue> RemoteReplicas::takeDueCopies(const ledger::Outbox& outbox, Duration period, Instant now)
{
    std::vector<CopiesDue> all;
    for (ReplicaLink* link : { &first_, &second_ }) {
        if (ledger::Batch batch = link->takeDueItems(outbox, period, now); !batch.items.empty()) {
            all.push_back({ *link->replica(), std::move(batch) });
        }
    }
    return all;
}

void RemoteReplicas::onCopied(Incarnation from, std::uint64_t sequence, std::uint64_t last, Instant now)
{
    first_.onCopied(from, sequence, last, now);
    second_.onCopied(from, sequence, last, now);
}

bool RemoteReplicas::isSecured(std::uint64_t sequence, Instant now) const noexcept
{
    const bool atFirst = first_.hasCopyOf(sequence);
    const bool atSecond = second_.hasCopyOf(sequence);
    return (atFirst && (atSecond || !second_.isResponsive(now))) || (atSecond && !first_.isResponsive(now));
}

std::vector<Incarnation> RemoteReplicas::replicasOf(std::uint64_t sequence) const
{
    std::vector<Incarnation> replicas;
    for (const ReplicaLink* link : { &first_, &second_ }) {
        if (link->hasCopyOf(sequence)) {
            replicas.push_back(*link->replica());
        }
    }
    return replicas;
}

std::vector<Incarnation> RemoteReplicas::responsiveReplicas(Instant now) const
{
    std::vector<Incarnation> replicas;
    for (const ReplicaLink* link : { &first_, &second_ }) {
        if (link->isResponsive(now)) {
            replicas.push_back(*link->replica());
        }
    }
    return replicas;
}

} // namespace swiftlift::node
