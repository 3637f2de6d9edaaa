#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::routing {

/** @brief A router that may collect the load reports of its failure domain. */
struct CollectorCandidate {
    Incarnation router;
    /** Bandwidth of its link, in Mbit/s; 0: not known. */
    double bandwidth = 0;
};

/**
 * @brief Chooses the router that collects the load reports of this router's failure domain.
 *
 * All routers of a domain choose the candidate with the widest link, so that they agree without an election. A
 * collector that doesn't answer reports is avoided for some seconds.
 */
class CollectorChoice {
public:
    /**
     * @param domain This router's failure domain.
     * @param patience How long reports are sent to a collector that sends no digest.
     */
    explicit CollectorChoice(const FailureDomain& domain, Duration patience = std::chrono::seconds(1));

    /**
     * @brief Updates the choice.
     * @param candidates The live routers of the domain that are not stopping, this one included unless it stops.
     * @return The collector to report to now; nullopt: there is no candidate.
     */
    std::optional<Incarnation> choose(const std::vector<CollectorCandidate>& candidates, Instant now);
    /** @brief Records that a report was sent to the collector. */
    void onReported(Instant now);
    /** @brief Records that the collector has sent a digest of the fleet. */
    void onDigest();

    /** @return The collector chosen last. */
    [[nodiscard]] std::optional<Incarnation> collector() const noexcept { return collector_; }

private:
    [[nodiscard]] bool isSilent() const;
    [[nodiscard]] std::optional<Incarnation> best(const std::vector<CollectorCandidate>& candidates) const;
    /** @return True if `left` is to be preferred to `right`. */
    [[nodiscard]] bool isBetter(const CollectorCandidate& left, const CollectorCandidate& right) const;
    void resetUnanswered();

    std::uint64_t domainHash_;
    Duration patience_;
    std::optional<Incarnation> collector_;
    /** When the first and the last report were sent that no digest has followed. */
    std::optional<Instant> firstUnanswered_;
    Instant lastUnanswered_ {};
    /** Collectors that did not answer, and until when they are avoided. */
    std::map<Incarnation, Instant> avoidedUntil_;
};

} // namespace swiftlift::routing
