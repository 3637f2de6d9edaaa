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

/** @brief An instruction to write a report to the log, or to drop it from the log. */
struct ReportOrder {
    ReportId id;
    /** The report to write; nothing if the report with this id is to be dropped. */
    std::optional<Report> report;
    /** True if this router orders the write of this report for the first time. */
    bool first = true;
};

/**
 * @brief Keeps the reports of one router until they have been read back from the log.
 *
 * Requests that are lost with the same backend server instance at about the same time share a report. A report that was
 * not read back is written again; it never changes once written, so writing it twice is harmless.
 */
class ReportOutbox {
public:
    /** @param self This router's incarnation: the reporter in the ids of its reports. */
    explicit ReportOutbox(Incarnation self);

    /**
     * @brief Adds the request to the report about the instance that is being gathered, or begins a new report.
     * @param parts Parts that the request's prompt shares with others.
     * @return The report with the requests gathered so far.
     */
    [[nodiscard]] Report onRequestLost(
        const Fingerprint& request, const std::vector<PromptPart>& parts, const BackendInstance& instance, Instant now);
    /**
     * @brief Queues a report that the request was answered.
     * @return That report.
     */
    [[nodiscard]] Report onAnswered(const Fingerprint& request, Instant now);
    /**
     * @brief Queues a report that requests with these parts were answered, or that they must be held back.
     * @return That report.
     */
    [[nodiscard]] Report onPartsJudged(const std::vector<PromptPart>& parts, bool heldBack, Instant now);
    /**
     * @brief Drops this router's loss reports about an instance that was seen to run after the loss.
     * @param instance The backend server instance.
     * @param at When the instance still ran.
     * @param maxTimeSinceLoss Longest time from a loss to `at` for the report to be dropped; reports of earlier losses
     * stay.
     * @return Ids of the dropped reports.
     */
    [[nodiscard]] std::vector<ReportId> onInstanceAlive(
        const BackendInstance& instance, Instant at, Duration maxTimeSinceLoss = Duration::max());
    /**
     * @brief Queues a write of another router's report, which is cancelled if the report is read from the log before.
     * @param report The other router's report.
     * @param at When to write the report.
     */
    void adopt(const Report& report, Instant at);
    /**
     * @brief Queues the removal of a report from the log, unless another router has removed the report by then.
     * @param id The report.
     * @param at When to remove the report.
     */
    void drop(const ReportId& id, Instant at);
    /**
     * @brief Processes what was read from the log about a report, and cancels the pending write that it confirms.
     * @param id The report.
     * @param present True if the log holds the report, false if the log has dropped it.
     * @param now The current time.
     */
    void onRead(const ReportId& id, bool present, Instant now);

    /**
     * @param spacing Minimum time between two writes.
     * @param now The current time.
     * @return The next report to write or drop; nothing if none is due yet.
     */
    [[nodiscard]] std::optional<ReportOrder> due(Duration spacing, Instant now);

    /** @return Number of writes and drops that have not been read back from the log. */
    [[nodiscard]] std::size_t unread() const noexcept { return pendingWrites_.size(); }

private:
    /** How long requests are added to a report. The requests of a server that ended fail within some tens of
     * milliseconds, the time in which the router reads all their connections. */
    static constexpr Duration gatherTime = std::chrono::milliseconds(100);
    /** How long a write may stay unread before it is repeated. */
    static constexpr Duration rewritePeriod = std::chrono::seconds(1);
    static constexpr std::size_t maxRequestsPerReport = 64;
    static constexpr std::size_t maxPartsPerReport = 256;
    static constexpr std::size_t maxPendingWrites = 1024;
    /** How long a loss report may be revoked. A server that still runs renews its registration within seconds, and
     * somewhat later after an outage of the log. */
    static constexpr Duration revocableTime = std::chrono::seconds(30);
    static constexpr std::size_t maxDroppedIds = 1024;

    /** @brief A report that further requests may still be added to. */
    struct GatheringReport {
        Report report;
        Instant since {};
    };

    /** @brief A write or drop that has not been read back from the log. */
    struct PendingWrite {
        /** Nothing: the report is to be dropped. */
        std::optional<Report> report;
        Instant nextAttempt {};
        bool written = false;
    };

    /** @brief A loss report of this router that is revoked if the instance turns out to be running still. */
    struct RevocableReport {
        ReportId id;
        BackendInstance instance;
        Instant lostAt {};
    };

    void enqueue(const Report& report, Instant now);
    void enqueueGathered(Instant now);
    void expireRevocable(Instant now);
    [[nodiscard]] ReportId nextId();

    Incarnation self_;
    std::uint64_t lastNumber_ = 0;
    std::map<BackendInstance, GatheringReport> gatheringReports_;
    std::map<ReportId, PendingWrite> pendingWrites_;
    std::deque<RevocableReport> revocable_;
    /** Reports of this router that were dropped: an append that timed out may still reach the log afterwards, and the
     * report is then dropped again. */
    std::set<ReportId> droppedIds_;
    Instant earliestNextWrite_ {};
};

} // namespace swiftlift::quarantine
