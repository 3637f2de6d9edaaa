#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "capacity/LedgerSample.h"
#include "capacity/Meter.h"
#include "swiftlift/node/Core.h"

namespace swiftlift::capacity {

/** What surrounds the measured core. */
struct CoreWorldSettings {
    std::uint32_t ledgerShards = 1;
    /** Client accounts with one budget each. */
    std::size_t accounts = 10;
    std::size_t services = 1;
    /** Engines of each service; requests go to the first one. */
    std::size_t engines = 20;
    /** Requests a second, to the measured core, over the accounts in turn. */
    double requestsPerSecond = 0;
    /** Reports of an answer's tokens in progress, per request. */
    std::size_t progressReports = 5;
    /** Load reports of each engine, a second. */
    std::size_t engineReportsPerSecond = 1;
    /** Records of other routers that land in the first ledger stream each second. */
    std::size_t foreignRecordsPerSecond = 0;
};

/** Counted over the measured time; of the measured core only. */
struct CoreWorldCounts {
    double appends = 0;
    double appendedBytes = 0;
    double readRecords = 0;
    double readBytes = 0;
    double messages = 0;
    double messageBytes = 0;
    double logLines = 0;
    double answered = 0;
    double otherEnds = 0;
};

/**
 * @brief Two cores of one failure domain, a log and engines in one thread and in simulated time.
 *
 * The first core is the measured one; the second is its witness. Delays are fixed, so counters are the same in each
 * run.
 */
class CoreWorld {
public:
    explicit CoreWorld(CoreWorldSettings settings);

    void run(Duration duration);
    void setRequestRate(double requestsPerSecond) { settings_.requestsPerSecond = requestsPerSecond; }
    /** Appends a new revision of the service; the cores read it with the next step. */
    void publish(std::size_t service);
    /** Forgets what was counted; processor time too. */
    void resetCounts();

    [[nodiscard]] const CoreWorldCounts& counts() const noexcept { return counts_; }
    /** @return Processor time of the measured core. */
    [[nodiscard]] double microseconds() const noexcept { return watch_.microseconds(); }

private:
    static constexpr std::size_t measured = 0;
    static constexpr std::size_t cores = 2;

    struct Vm {
        std::unique_ptr<node::Core> core;
        Incarnation incarnation;
        PeerAddress address;
        std::map<StreamName, std::uint64_t> followed;
        std::vector<node::Event> inbox;
    };

    struct Attempt {
        AttemptId id;
        Instant started {};
        std::size_t reports = 0;
    };

    void openLedger();
    void startCores();
    void step();
    void deliver(std::size_t vm, const node::Event& event);
    void execute(std::size_t vm, node::Actions& actions);
    void on(std::size_t vm, node::Append& append);
    void on(std::size_t vm, node::SendPeer& send);
    void deliverRecords(std::size_t vm);
    void deliverInbox(std::size_t vm);
    void sendRequests();
    void moveAttempts();
    void reportEngines();
    void addForeignRecords();
    void appendEntries(Incarnation origin, std::vector<ledger::Entry> entries);
    [[nodiscard]] node::CallerRequest nextRequest();

    CoreWorldSettings settings_;
    Instant now_;
    std::vector<Vm> vms_;
    std::map<StreamName, std::vector<std::string>> streams_;
    std::map<StreamName, std::map<Incarnation, std::uint64_t>> sequences_;
    std::deque<Attempt> attempts_;
    std::uint64_t steps_ = 0;
    std::uint64_t requests_ = 0;
    std::uint64_t foreignBills_ = 0;
    std::map<std::size_t, std::uint64_t> revisions_;
    double owedRequests_ = 0;
    double owedForeign_ = 0;
    CoreWorldCounts counts_;
    Stopwatch watch_;
};

} // namespace swiftlift::capacity
