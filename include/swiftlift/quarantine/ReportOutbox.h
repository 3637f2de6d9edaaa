#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "swiftlift/base/Units.h"
#include "swiftlift/quarantine/Report.h"

namespace swiftlift::quarantine {

/** A report to be written to the log, or to be dropped from it. */
struct ReportOrder {
    ReportId id;
    /** Nothing: it is dropped. */
    std::optional<Report> report;
    /** It has not been written before. */
    bool first = true;
};

/**
 * @brief One router's own reports, until they have been read back from the log.
 *
 * The requests that are lost with one life of a server at about the same time share a report. What was not read back is
 * written again: a report never changes, so writing it twice does no harm.
 */
class ReportOutbox {
public:
    explicit ReportOutbox(Incarnation self);

    /** @return What to report of the request, as far as it is gathered yet. */
    [[nodiscard]] Report onRequestLost(const Fingerprint& request, const BackendInstance& instance, Instant now);
    /** @return The report that acquits the request. */
    [[nodiscard]] Report onAnswered(const Fingerprint& request, Instant now);
    /**
     * The server's life did not end when its requests were lost.
     * @param at When it still ran.
     * @param longest Reports of losses longer before that are left alone.
     * @return Own reports that were wrong; they are dropped.
     */
    [[nodiscard]] std::vector<ReportId> onInstanceAlive(
        const BackendInstance& instance, Instant at, Duration longest = Duration::max());
    /** Writes another router's report as well, unless it is read before. */
    void adopt(const Report& report, Instant at);
    /** Drops the report from the log, if nobody else has by then. */
    void drop(const ReportId& id, Instant at);
    /** @param present False: the log has dropped it. */
    void onRead(const ReportId& id, bool present, Instant now);

    /**
     * @param spacing Least time between two writes.
     * @return What is to be written now; nothing: not yet.
     */
    [[nodiscard]] std::optional<ReportOrder> due(Duration spacing, Instant now);

    [[nodiscard]] std::size_t unread() const noexcept { return pending_.size(); }

private:
    /** A server's requests break within some tens of milliseconds, as the router comes to read their connections. */
    static constexpr Duration gatherTime = std::chrono::milliseconds(100);
    static constexpr Duration retryPeriod = std::chrono::seconds(1);
    static constexpr std::size_t mostRequestsPerReport = 64;
    static constexpr std::size_t mostPending = 1024;
    /** A server that runs on registers again within seconds, and some later after an outage of the log. */
    static constexpr Duration doubtTime = std::chrono::seconds(30);
    static constexpr std::size_t mostDropped = 1024;

    /** A report that still takes requests in. */
    struct Gathering {
        Report report;
        Instant since {};
    };

    struct Pending {
        std::optional<Report> report;
        Instant nextWrite {};
        bool written = false;
    };

    /** An own report of a loss that may still turn out to be wrong. */
    struct Doubtful {
        ReportId id;
        BackendInstance instance;
        Instant lostAt {};
    };

    void close(const Report& report, Instant now);
    void closeGathered(Instant now);
    void endDoubts(Instant now);
    [[nodiscard]] ReportId nextId();

    Incarnation self_;
    std::uint64_t lastNumber_ = 0;
    std::map<BackendInstance, Gathering> gathering_;
    std::map<ReportId, Pending> pending_;
    std::deque<Doubtful> doubtful_;
    /** An append that was given up may still land after its report was dropped. */
    std::set<ReportId> dropped_;
    Instant nextWrite_ {};
};

} // namespace swiftlift::quarantine
