#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "node/Context.h"
#include "node/Peers.h"
#include "swiftlift/quarantine/PartSuspects.h"
#include "swiftlift/quarantine/Quarantine.h"
#include "swiftlift/quarantine/ReportOutbox.h"

namespace swiftlift::node {

/** An answer to a request, and the instance of the server that gave it. */
struct QuarantineAnswer {
    std::optional<quarantine::Fingerprint> request;
    /** Parts that its prompt shares with others. */
    std::vector<quarantine::PromptPart> parts;
    quarantine::BackendInstance instance;
    /** When the request was sent. */
    Instant sentAt {};
    /** The caller's id of the request, for log lines. */
    std::string callerRequestId {};
};

/**
 * @brief Shares reports on requests that crash backend servers among all routers of the fleet.
 *
 * Reports are sent from router to router, which takes milliseconds and works while the log is unreachable, and are
 * written to a keyed stream of the log, for routers that start or are partitioned from their peers.
 */
class QuarantineCoordinator {
public:
    QuarantineCoordinator(Context& context, Peers& peers);

    void start();
    /** Applies reports that were read from the log. */
    void onRecords(const KeyedRecords& records);
    /** Applies reports that a peer has sent. */
    void onPeerRecords(const Records& records);
    /** Handles that a write or read of the report stream was answered or has failed. */
    void onLogAnswer() noexcept;
    void tick();

    /**
     * @brief Handles that a backend server instance ended while it ran the request.
     * @param request Fingerprint of the request.
     * @param parts Parts that its prompt shares with others.
     * @param instance The instance that ended.
     * @param callerRequestId The caller's id of the request, for log lines.
     */
    void onRequestLost(const quarantine::Fingerprint& request, const std::vector<quarantine::PromptPart>& parts,
        const quarantine::BackendInstance& instance, const std::string& callerRequestId);
    /**
     * @brief Handles that a backend server has answered a request.
     * @param lives The server has not crashed at the end of its answer; else the answer counts once it is clear that
     * it ended by itself.
     */
    void onAnswered(const QuarantineAnswer& answer, bool lives);
    /** Handles that a request with these parts, sent at `sentAt`, was answered without a crash. */
    void onPartsAnswered(const std::vector<quarantine::PromptPart>& parts, Instant sentAt);
    /** Handles that the instance has answered a request that was sent to it at `sentAt`. */
    void onServerAnswered(const quarantine::BackendInstance& instance, Instant sentAt);
    /**
     * @brief Handles that the instance has renewed its entry.
     * @param at A moment at which the instance ran.
     */
    void onServerSeen(const quarantine::BackendInstance& instance, Instant at);

    /** @return Why the request must not be sent to any backend server; std::nullopt when it may be sent. */
    [[nodiscard]] std::optional<quarantine::QuarantineEntry> quarantineEntry(
        const quarantine::Fingerprint& request) const
    {
        return quarantine_.quarantineEntry(request);
    }

    /** @return The part for which a request with these parts must not be sent; std::nullopt when it may be sent. */
    [[nodiscard]] std::optional<quarantine::HeldBackPart> heldBackPart(
        const std::vector<quarantine::PromptPart>& parts);

    /** @return True once the reports from before this router's start have been read. */
    [[nodiscard]] bool known() const noexcept { return reportsRead_; }

    [[nodiscard]] static const StreamName& stream();

private:
    /** Pause between two reads. Each report completes a read at every router: the pause bounds the number of reads
     * while many servers end. */
    static constexpr Duration readPause = std::chrono::milliseconds(300);
    /** Time between two writes, times the number of routers: the whole fleet's reports take at most a quarter of the
     * appends that the log handles in a second. */
    static constexpr Duration writeSpacingPerRouter = std::chrono::milliseconds(5);
    /** Maximum number of writes without an answer. More would delay the ledger's appends after an outage. */
    static constexpr int maxUnansweredWrites = 4;
    /** No server restarts faster than this: one that answers sooner after a loss is still the same instance. */
    static constexpr Duration minRestartTime = std::chrono::milliseconds(500);
    /** A server that lives renews its entry, or answers again, within this time. */
    static constexpr Duration aliveTime = std::chrono::seconds(5);
    /** Time within which all connections to a server end that has crashed. */
    static constexpr Duration crashTime = std::chrono::seconds(1);
    static constexpr std::size_t maxUncertain = 1024;
    /** Time between two searches for expired reports. */
    static constexpr Duration expiryPeriod = std::chrono::seconds(1);
    /** Each router removes other routers' expired reports at its own moment within this time, so that usually one
     * router writes the removal for all. */
    static constexpr Duration maxDropJitter = std::chrono::minutes(10);
    /** A report that a peer has sent is written to the log by this router unless it has been read from the log within
     * this delay plus a jitter. */
    static constexpr Duration adoptionDelay = std::chrono::seconds(5);
    static constexpr Duration maxAdoptionJitter = std::chrono::seconds(10);
    /** A request that was lost with at least this many servers is reported to the other routers when it is answered. */
    static constexpr std::size_t minServersToReportAnswer = 2;

    /** An answer that ended with its connection: its server may have crashed. */
    struct UncertainAnswer {
        QuarantineAnswer answer;
        Instant at {};
    };

    void applyAnswer(const QuarantineAnswer& answer);
    void applyLoss(const QuarantineAnswer& answer);
    /** Removes the uncertain answers of the instance that ended before `at`. @return These, in order. */
    [[nodiscard]] std::vector<QuarantineAnswer> takeUncertain(const quarantine::BackendInstance& instance, Instant at);
    /** Applies the uncertain answers that the instance gave before `at`, when it still ran. */
    void onInstanceAlive(const quarantine::BackendInstance& instance, Instant at);
    /** Applies the uncertain answers of an instance that has ended as losses. */
    void onInstanceEnded(const quarantine::BackendInstance& instance);
    /** Applies uncertain answers as losses whose servers were not seen again although others were. */
    void expireUncertain();
    /** @param isOld The record may be from before this process. */
    void applyRecord(const KeyedRecord& record, bool isOld);
    void applyReport(const quarantine::Report& report, const char* source);
    /** Reports that the request was answered, which clears it of suspicion. */
    void reportAnswered(const quarantine::Fingerprint& request);
    /** Writes a report, or its removal, to the log; sends a new report to the peers. */
    void writeReport(const quarantine::ReportOrder& order);
    /** Withdraws reports that named an instance that still runs. */
    void withdrawReports(const std::vector<quarantine::ReportId>& wrong, const quarantine::BackendInstance& instance);
    void sendToPeers(const quarantine::Report& report);
    /** Orders the removal of expired reports. */
    void dropExpired();
    /** @return A delay below `maxJitter` that is fixed for this router and report and differs between routers. */
    [[nodiscard]] Duration jitterFor(Duration maxJitter, const quarantine::ReportId& id) const;
    /** Withdraws this router's verdicts that rest on servers which still run. */
    void reviewVerdicts();
    /** Handles the report of another router that requests with these parts were answered. */
    void onAnsweredElsewhere(const quarantine::Report& report);
    /** Withdraws this router's verdict on a part, if there is one. */
    void withdrawVerdict(const quarantine::PromptPart& part);
    void logPart(const quarantine::PromptPart& part, const char* change, std::size_t serversEnded);
    void logReport(const quarantine::ReportId& id, const char* change, std::size_t requests, const std::string& detail);

    Context& context_;
    Peers& peers_;
    quarantine::Quarantine quarantine_;
    quarantine::PartSuspects parts_;
    quarantine::ReportOutbox outbox_;
    /** Reports by which this router holds parts back. */
    std::map<quarantine::PromptPart, quarantine::ReportId> ownVerdicts_;
    std::deque<UncertainAnswer> uncertain_;
    /** Instances that ended lately, and when. */
    std::map<quarantine::BackendInstance, Instant> ended_;
    /** When any server was last seen to have renewed its entry. */
    Instant anyServerSeenAt_ {};
    bool reportsRead_ = false;
    int unansweredWrites_ = 0;
    Instant nextExpiry_ {};
};

} // namespace swiftlift::node
