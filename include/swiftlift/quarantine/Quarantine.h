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

/** Bounds of what a router remembers of requests under which backend servers ended. */
struct QuarantineLimits {
    /** Backend servers that may end under a request before it is sent to no more. */
    std::size_t maxServersEnded = 3;
    /** How long a report counts. */
    Duration lifetime = std::chrono::hours(1);
    /** An answer given so lately shows that a request is harmless, whatever ended beside it. */
    Duration answerLifetime = std::chrono::seconds(30);
    /** Requests under suspicion; past that, the one under which the fewest servers ended is forgotten. */
    std::size_t maxSuspects = 4096;
    /** Answered requests that are remembered. */
    std::size_t maxAnswered = 4096;
    /** Reports that are remembered; past that, the oldest that names no request lost with several servers goes. */
    std::size_t maxReports = 4096;
};

/** Why a request is sent to no backend server, and until when. */
struct QuarantineEntry {
    std::size_t serversEnded = 0;
    Instant until {};
};

/**
 * @brief Finds the requests that crash the backend servers that run them.
 *
 * A server that ends takes all its requests with it, and most of them had no part in it. A request is told from its
 * company by coming again: it is confined once several lives of servers have ended under it and none has answered it.
 * Fed with the reports of all routers, so that it doesn't matter at which of them a request comes in.
 */
class Quarantine {
public:
    explicit Quarantine(QuarantineLimits limits = {});

    /** Takes a report in; of a known one, the requests that it did not name before. */
    void onReport(const Report& report, Instant now);
    /** The report holds no more: it was wrong, or is too old. */
    void onWithdrawn(const ReportId& id);
    /** The request was answered here: what was reported of it before holds no more. */
    void onAnswered(const Fingerprint& request, Instant now);

    /** @return Why the request must not be sent; nothing: it may. */
    [[nodiscard]] std::optional<QuarantineEntry> quarantineEntry(const Fingerprint& request) const;
    /** @return Lives of backend servers that ended under the request, as far as is known. */
    [[nodiscard]] std::size_t serversEnded(const Fingerprint& request) const;
    /** @return True when the request was answered here a moment ago. */
    [[nodiscard]] bool answeredRecently(const Fingerprint& request, Instant now) const;

    [[nodiscard]] bool knows(const ReportId& id) const { return reports_.contains(id); }
    [[nodiscard]] std::size_t suspects() const noexcept { return suspects_.size(); }
    /** Withdraws what has become too old. @return What was withdrawn. */
    std::vector<ReportId> expire(Instant now);

private:
    /** That one life of a server ended under a request. */
    struct Ended {
        std::set<ReportId> reports;
        Instant lastReport {};
    };

    /** What is known against one request. */
    struct Suspect {
        std::map<BackendInstance, Ended> ended;
        Instant lastReport {};
    };

    struct KnownReport {
        Report report;
        Instant knownSince {};
    };

    void accuse(const Fingerprint& request, const Report& report, Instant now);
    void acquit(const Fingerprint& request);
    void forgetOneSuspect();
    void forgetOneReport();
    /** @return True when a request of it stands under more suspicion than by one server. */
    [[nodiscard]] bool weighs(const Report& report) const;

    QuarantineLimits limits_;
    std::map<Fingerprint, Suspect> suspects_;
    std::map<ReportId, KnownReport> reports_;
    /** In the order in which they came to be known; withdrawn ones may be among them. */
    std::deque<ReportId> order_;
    std::map<Fingerprint, Instant> answered_;
    std::deque<std::pair<Instant, Fingerprint>> answeredOrder_;
};

} // namespace swiftlift::quarantine
