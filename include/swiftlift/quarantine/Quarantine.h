#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "swiftlift/base/Units.h"
#include "swiftlift/quarantine/Report.h"

namespace swiftlift::quarantine {

/** @brief Bounds of what one router remembers about requests that were in progress when backend servers ended. */
struct QuarantineLimits {
    /** A request is quarantined once this many backend server instances have ended while they ran it. */
    std::size_t maxServersEnded = 3;
    /** How long a report counts after it was received. */
    Duration lifetime = std::chrono::hours(1);
    /** While its last answer is younger than this, a request is taken to be harmless: new loss reports don't count. */
    Duration answerLifetime = std::chrono::seconds(30);
    /** Maximum number of suspects; beyond it, the suspect with the fewest ended instances is evicted. */
    std::size_t maxSuspects = 4096;
    /** Maximum number of answered requests that are remembered; beyond it, the oldest answer is evicted. */
    std::size_t maxAnswered = 4096;
    /** Maximum number of stored reports; beyond it, the oldest report is evicted that names no request lost with
     * several instances. */
    std::size_t maxReports = 4096;
};

/** @brief Why a request is sent to no backend server, and until when. */
struct QuarantineEntry {
    /** Backend server instances that ended while they ran the request. */
    std::size_t serversEnded = 0;
    /** When enough reports have expired for the request to be sent again. */
    Instant until {};
};

/**
 * @brief Finds the requests that crash the backend servers that run them.
 *
 * When a backend server ends, all requests that it runs are lost, and most of them did not cause the end. The request
 * that did is recognised by its retries: a request is quarantined once several server instances have ended while they
 * ran it and none has answered it. The reports of all routers are collected here, so the routers at which the retries
 * arrive make no difference.
 */
class Quarantine {
public:
    explicit Quarantine(QuarantineLimits limits = {});

    /** @brief Stores a report; if a report with this id is stored already, adds the requests that it did not name yet.
     */
    void onReport(const Report& report, Instant now);
    /** @brief Removes a report that was wrong or has expired, and the suspicion that rests on it. */
    void onWithdrawn(const ReportId& id);
    /** @brief Records that this router got an answer to the request: earlier loss reports about it count no more. */
    void onAnswered(const Fingerprint& request, Instant now);

    /** @return Why the request must not be sent; nothing if it may be sent. */
    [[nodiscard]] std::optional<QuarantineEntry> quarantineEntry(const Fingerprint& request) const;
    /** @return Number of backend server instances reported to have ended while they ran the request. */
    [[nodiscard]] std::size_t serversEnded(const Fingerprint& request) const;
    /** @return True if this router got an answer to the request within the last `answerLifetime`. */
    [[nodiscard]] bool answeredRecently(const Fingerprint& request, Instant now) const;

    /** @return True if a report with this id is stored. */
    [[nodiscard]] bool knows(const ReportId& id) const { return reports_.contains(id); }
    /** @return Number of requests with at least one loss report that counts. */
    [[nodiscard]] std::size_t suspects() const noexcept { return suspects_.size(); }
    /**
     * @brief Removes the reports older than `lifetime`.
     * @return Ids of the removed reports.
     */
    std::vector<ReportId> expire(Instant now);

private:
    /** @brief Loss reports about one suspect that name the same backend server instance. */
    struct InstanceReports {
        std::set<ReportId> reports;
        Instant lastReport {};
    };

    /** @brief A request that was lost with at least one backend server instance. */
    struct Suspect {
        std::map<BackendInstance, InstanceReports> endedInstances;
        Instant lastReport {};
    };

    struct StoredReport {
        Report report;
        Instant receivedAt {};
    };

    void addSuspicion(const Fingerprint& request, const Report& report, Instant now);
    void clearSuspicion(const Fingerprint& request);
    void evictSuspect();
    void evictReport();
    /** @return True if the report names a request that was lost with more than one backend server instance. */
    [[nodiscard]] bool namesRepeatSuspect(const Report& report) const;

    QuarantineLimits limits_;
    std::map<Fingerprint, Suspect> suspects_;
    std::map<ReportId, StoredReport> reports_;
    /** Report ids in order of arrival, from the oldest; ids of withdrawn reports may remain in it. */
    std::deque<ReportId> arrivalOrder_;
    /** When each request was answered last. */
    std::map<Fingerprint, Instant> answered_;
    std::deque<std::pair<Instant, Fingerprint>> answeredOrder_;
};

} // namespace swiftlift::quarantine
