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

ledger::Batch ReplicaLink::due(const ledger::Outbox& outbox, Duration period, Instant now)
{
    passOverPause(now);
    if (!replica_) {
        return {};
    }
    silent_ = silent_ || overdue(now);
    const bool isNew = outbox.lastSequence() > sent_ && now >= nextNew_;
    const bool retryDue = copied_ < outbox.lastSequence() && now >= nextRetry_;
    if (!isNew && !retryDue) {
        return {};
    }
    ledger::Batch batch = outbox.copyAfter(retryDue ? copied_ : std::max(copied_, sent_));
    sent_ = outbox.lastSequence();
    if (batch.items.empty()) {
        // All of them have landed meanwhile: no acknowledgement has to come for them.
        owedSince_.reset();
        return batch;
    }
    owedSince_ = owedSince_.value_or(now);
    nextRetry_ = now + retryPeriod;
    nextNew_ = now + period;
    return batch;
}

void ReplicaLink::onCopied(Incarnation from, std::uint64_t sequence, std::uint64_t last, Instant now)
{
    if (from != replica_ || sequence > last || sequence <= copied_) {
        return;
    }
    copied_ = sequence;
    silent_ = false;
    owedSince_ = copied_ < sent_ ? std::optional(now) : std::nullopt;
}

bool ReplicaLink::inTouch(Instant now) const noexcept { return replica_ && !silent_ && !overdue(now); }

bool ReplicaLink::overdue(Instant now) const noexcept
{
    const Instant counted = lastLook_ ? std::min(now, *lastLook_ + longestStep) : now;
    return owedSince_ && counted - *owedSince_ >= patience;
}

// Whoever was paused itself takes a keeper that answered meanwhile for silent, and tells callers of bills that stand in
// one failure domain alone.
void ReplicaLink::passOverPause(Instant now)
{
    const Duration gap = lastLook_ ? now - *lastLook_ : Duration {};
    if (owedSince_ && gap > longestStep) {
        *owedSince_ += gap - longestStep;
    }
    lastLook_ = now;
}

} // namespace swiftlift::node
