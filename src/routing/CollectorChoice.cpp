#include "swiftlift/routing/CollectorChoice.h"

#include "swiftlift/base/RendezvousHash.h"

namespace swiftlift::routing {

namespace {

    /** How long a collector that did not answer is avoided. */
    constexpr Duration avoidance = std::chrono::seconds(5);

} // namespace

CollectorChoice::CollectorChoice(const FailureDomain& domain, Duration patience)
    : domainHash_(stableHash(domain.value()))
    , patience_(patience)
{
}

std::optional<Incarnation> CollectorChoice::choose(const std::vector<CollectorCandidate>& candidates, Instant now)
{
    if (collector_ && isSilent()) {
        avoidedUntil_[*collector_] = now + avoidance;
    }
    std::erase_if(avoidedUntil_, [&](const auto& entry) { return now >= entry.second; });
    if (const auto chosen = best(candidates); chosen != collector_) {
        collector_ = chosen;
        resetUnanswered();
    }
    return collector_;
}

// After a pause of this process the digests that arrived meanwhile are still unread, so the wait begins anew.
void CollectorChoice::onReported(Instant now)
{
    if (!firstUnanswered_ || now - lastUnanswered_ > patience_) {
        firstUnanswered_ = now;
    }
    lastUnanswered_ = now;
}

void CollectorChoice::onDigest() { resetUnanswered(); }

bool CollectorChoice::isSilent() const { return firstUnanswered_ && lastUnanswered_ - *firstUnanswered_ >= patience_; }

std::optional<Incarnation> CollectorChoice::best(const std::vector<CollectorCandidate>& candidates) const
{
    const CollectorCandidate* best = nullptr;
    for (const CollectorCandidate& candidate : candidates) {
        const bool avoided = avoidedUntil_.contains(candidate.router);
        if (!avoided && (best == nullptr || isBetter(candidate, *best))) {
            best = &candidate;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->router);
}

bool CollectorChoice::isBetter(const CollectorCandidate& left, const CollectorCandidate& right) const
{
    if (left.bandwidth != right.bandwidth) {
        return left.bandwidth > right.bandwidth;
    }
    return rendezvousRank(domainHash_, left.router.value()) > rendezvousRank(domainHash_, right.router.value());
}

void CollectorChoice::resetUnanswered() { firstUnanswered_.reset(); }

} // namespace swiftlift::routing
