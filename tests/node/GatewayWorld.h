#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "swiftlift/fleet/FleetCodec.h"
#include "swiftlift/ledger/Fold.h"
#include "swiftlift/node/Core.h"
#include "swiftlift/quarantine/Report.h"

namespace swiftlift::node::testing {

/** Reads configurations and backend servers that a test has put down under a name. */
class NamedCodec final : public fleet::FleetCodec {
public:
    std::map<std::string, fleet::FleetConfig> configs;
    std::map<std::string, fleet::BackendServer> servers;

    [[nodiscard]] std::optional<fleet::FleetConfig> config(std::string_view text, Findings& findings) const override;
    [[nodiscard]] std::optional<fleet::BackendServer> server(
        const std::string& id, std::string_view text, Findings& findings) const override;
};

/**
 * One core that passes requests on, with a log that answers at once or not at all, under a clock that the test moves.
 *
 * Routes of host `desk`: `/plain/` (idempotent, two servers), `/order/` (runs once), `/stream/` (events, runs once) and
 * `/resumable/` (events, may be taken up elsewhere). Account `club` has key `k`.
 */
class GatewayWorld {
public:
    explicit GatewayWorld(std::int64_t budget = 1'000'000);

    /** Lets the core read configuration, servers and ledger until it says that it is ready. */
    void settle();
    void run(Duration time);

    CallId arrive(const std::string& path, std::int64_t promptTokens = 0, std::int64_t answerTokens = 0,
        Duration deadline = std::chrono::seconds(5), const std::string& key = "k");
    void end(const ProxyDispatch& order, ProxyAttemptEnd how, int status = 200, std::uint64_t events = 0);
    /** The connection of the request's backend server ends, as when the server crashes. */
    void lose(const ProxyDispatch& order);
    void progress(const ProxyDispatch& order, std::uint64_t events);
    void tell(const Event& event);

    /** @return What was ordered for the call and not ended since; nothing when nothing is. */
    [[nodiscard]] std::optional<ProxyDispatch> orderOf(CallId call) const;
    [[nodiscard]] std::optional<Reply> replyOf(CallId call) const;
    [[nodiscard]] bool failurePassedOn(CallId call) const { return failures_.contains(call); }
    [[nodiscard]] bool cancelled(const ProxyDispatch& order) const { return cancelled_.contains(order.attempt); }
    [[nodiscard]] bool ready() const noexcept { return ready_; }
    [[nodiscard]] bool stopReady() const noexcept { return stopReady_; }
    /** @return How often the ledger was to be read without a pause. */
    [[nodiscard]] int expeditedReads() const noexcept { return hastenedReads_; }
    /** @return The account's budget as the log has it. */
    [[nodiscard]] ledger::BudgetView budget() const;
    [[nodiscard]] Tokens billed() const { return budget().billed; }
    [[nodiscard]] std::vector<LogLine> lines(const std::string& kind) const;

    /** Publishes a configuration like the present one, changed. */
    template <typename Change> void publish(const Change& change)
    {
        fleet::FleetConfig next = config_;
        ++next.version;
        change(next);
        putConfig(std::move(next));
    }
    void putServer(const std::string& id, const std::string& service, const std::string& domain,
        fleet::ServerState state = fleet::ServerState::Ready, std::uint64_t startedAt = 0);
    /** Another writer leaves something under the key that no server would write. */
    void putForeign(const std::string& key);
    void dropServer(const std::string& id);
    /** Another router has reported requests for these paths as lost with a backend server. */
    void reportLost(const std::vector<std::string>& paths, const std::string& server, Incarnation reporter);
    /** @return Reports in the log. */
    [[nodiscard]] std::size_t reports() const noexcept { return reports_.size(); }
    /** @return What a request for this path is recognised by. */
    [[nodiscard]] static quarantine::Fingerprint fingerprintOf(const std::string& path);
    /** Another router writes to the ledger. */
    void writeLedger(Incarnation author, ledger::Entry entry);

    /** False: reads and appends fail. */
    bool logReachable = true;
    /** True: the transport says how much of an answer its caller was given when the core has ended it. */
    bool reportsCuts = true;

private:
    void putConfig(fleet::FleetConfig config);
    void execute(Actions& actions);
    void on(const Append& append);
    void on(const Follow& follow);
    void writeReport(const Append& append);
    void readLog();

    std::shared_ptr<NamedCodec> codec_ = std::make_shared<NamedCodec>();
    fleet::FleetConfig config_;
    std::unique_ptr<Core> core_;
    Instant now_ { std::chrono::seconds(100) };
    std::vector<std::string> ledger_;
    std::uint64_t read_ = 0;
    bool following_ = false;
    std::deque<Event> pending_;
    std::uint64_t keyedOffset_ = 0;
    Instant configReadAt_ {};
    std::uint64_t lastWritten_ = 0;
    std::uint64_t lastCall_ = 0;
    void reportCut(CallId call);

    std::map<std::string, std::string> reports_;
    std::uint64_t lastReport_ = 0;
    std::map<CallId, ProxyDispatch> orders_;
    std::map<CallId, std::uint64_t> given_;
    std::map<CallId, Reply> replies_;
    std::set<CallId> failures_;
    std::set<AttemptId> cancelled_;
    std::vector<LogLine> lines_;
    bool ready_ = false;
    bool stopReady_ = false;
    int hastenedReads_ = 0;
};

} // namespace swiftlift::node::testing
