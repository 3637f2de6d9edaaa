#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "node/Context.h"
#include "node/Peers.h"
#include "swiftlift/quarantine/Quarantine.h"
#include "swiftlift/quarantine/ReportOutbox.h"

namespace swiftlift::node {

/**
 * @brief Requests that crash backend servers, as all routers of the fleet have reported them.
 *
 * Reports go from router to router, which takes milliseconds and works while the log is out of reach, and through a
 * keyed stream of the log, for routers that start anew or are cut off from their peers.
 */
class QuarantineCoordinator {
public:
    QuarantineCoordinator(Context& context, Peers& peers);

    void start();
    void onRecords(const KeyedRecords& records);
    /** A peer tells its reports. */
    void onPeerRecords(const Records& records);
    /** A write, or a read, of the reports has got its answer or has failed. */
    void onLogAnswer() noexcept;
    void tick();

    /** The request was lost with a backend server. @param named For logs: the caller's id of it. */
    void onRequestLost(
        const quarantine::Fingerprint& request, const quarantine::BackendInstance& instance, const std::string& named);
    void onAnswered(const quarantine::Fingerprint& request);
    /** The server answers what was sent to it at this moment. */
    void onServerAnswered(const quarantine::BackendInstance& instance, Instant sentAt);
    /** @param at When this life of the server still ran. */
    void onServerSeen(const quarantine::BackendInstance& instance, Instant at);

    /** @return Why the request must not be sent to any backend server; nothing: it may. */
    [[nodiscard]] std::optional<quarantine::QuarantineEntry> quarantineEntry(
        const quarantine::Fingerprint& request) const
    {
        return quarantine_.quarantineEntry(request);
    }

    /** @return True when the reports of before this router's start have been read. */
    [[nodiscard]] bool known() const noexcept { return known_; }

    [[nodiscard]] static const StreamName& stream();

private:
    /** All routers hear each report; the pause bounds the reads of a fleet in which many servers end. */
    static constexpr Duration readPause = std::chrono::milliseconds(300);
    /** Reports that the whole fleet writes in a second, at most, are a quarter of what its log takes. */
    static constexpr Duration writeSpacingPerRouter = std::chrono::milliseconds(5);
    /** Writes that wait for the log. More would hold up the ledger's after an outage. */
    static constexpr int mostUnansweredWrites = 4;
    /** A server that answers so soon after a loss has not started again meanwhile, known as it is or not. */
    static constexpr Duration fastestRestart = std::chrono::milliseconds(500);
    static constexpr Duration expiryPeriod = std::chrono::seconds(1);
    /** Routers drop an old report of another one at moments of their own within this time: the first spares the rest
     * the call. */
    static constexpr Duration dropSpread = std::chrono::minutes(10);
    /** Another router's report that was not read from the log for so long, and this spread, is written for it. */
    static constexpr Duration adoptionDelay = std::chrono::seconds(5);
    static constexpr Duration adoptionSpread = std::chrono::seconds(10);
    /** Under a request that was lost with so many servers, its answer is told to the other routers. */
    static constexpr std::size_t worthAcquitting = 2;

    void takeRecord(const KeyedRecord& record);
    void take(const quarantine::Report& report, const char* source);
    void acquit(const quarantine::Fingerprint& request);
    void write(const quarantine::ReportOrder& order);
    void withdraw(const std::vector<quarantine::ReportId>& wrong, const quarantine::BackendInstance& instance);
    void tellPeers(const quarantine::Report& report);
    void expire();
    /** @return A part of the time that is this router's own for the report. */
    [[nodiscard]] Duration partOf(Duration spread, const quarantine::ReportId& id) const;
    void logReport(const quarantine::ReportId& id, const char* change, std::size_t requests, const std::string& detail);

    Context& context_;
    Peers& peers_;
    quarantine::Quarantine quarantine_;
    quarantine::ReportOutbox outbox_;
    bool known_ = false;
    int unansweredWrites_ = 0;
    Instant nextExpiry_ {};
};

} // namespace swiftlift::node
