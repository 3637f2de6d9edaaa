#include "node/ReplicaLink.h"

#include <algorithm>

namespace swiftlift::node {

void ReplicaLink::setTarget(std::optional<Incarnation> replica)
{
    if (replica == replica_) {
        return;
    }
    *this = ReplicaLink {};
    replica_ = replica;
}

ledger::Batch ReplicaLink::takeDueItems(const ledger::Outbox& outbox, Duration period, Instant now)
{
    excludeOwnPause(now);
    if (!replica_) {
        return {};
    }
    timedOut_ = timedOut_ || isAcknowledgementOverdue(now);
    const bool isNew = outbox.lastSequence() > lastSent_ && now >= nextNew_;
    const bool retryDue = lastCopied_ < outbox.lastSequence() && now >= nextRetry_;
    if (!isNew && !retryDue) {
        return {};
    }
    ledger::Batch batch = outbox.copyAfter(retryDue ? lastCopied_ : std::max(lastCopied_, lastSent_));
    lastSent_ = outbox.lastSequence();
    if (batch.items.empty()) {
        // All items have landed meanwhile, so no acknowledgement is due any more.
        awaitingSince_.reset();
        return batch;
    }
    awaitingSince_ = awaitingSince_.value_or(now);
    nextRetry_ = now + retryPeriod;
    nextNew_ = now + period;
    return batch;
}

void ReplicaLink::onCopied(Incarnation from, std::uint64_t sequence, std::uint64_t last, Instant now)
{
    if (from != replica_ || sequence > last || sequence <= lastCopied_) {
        return;
    }
    lastCopied_ = sequence;
    timedOut_ = false;
    awaitingSince_ = lastCopied_ < lastSent_ ? std::optional(now) : std::nullopt;
}

bool ReplicaLink::isResponsive(Instant now) const noexcept
{
    return replica_ && !timedOut_ && !isAcknowledgementOverdue(now);
}

bool ReplicaLink::isAcknowledgementOverdue(Instant now) const noexcept
{
    const Instant effectiveNow = lastDueCall_ ? std::min(now, *lastDueCall_ + maxStep) : now;
    return awaitingSince_ && effectiveNow - *awaitingSince_ >= acknowledgementTimeout;
}

// Without this, a router that was paused would count a replica that had responded meanwhile as unresponsive, and would
// answer callers whose bills are stored in one failure domain only.
void ReplicaLink::excludeOwnPause(Instant now)
{
    const Duration gap = lastDueCall_ ? now - *lastDueCall_ : Duration {};
    if (awaitingSince_ && gap > maxStep) {
        *awaitingSince_ += gap - maxStep;
    }
    lastDueCall_ = now;
}

} // namespace swiftlift::node
