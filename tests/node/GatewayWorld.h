#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "swiftlift/fleet/FleetCodec.h"
#include "swiftlift/ledger/Fold.h"
#include "swiftlift/node/Core.h"
#include "swiftlift/quarantine/Report.h"

namespace swiftlift::node::testing {

/** Decodes a record's text as the name of a configuration or backend server that the test has stored. */
class NamedCodec final : public fleet::FleetCodec {
public:
    std::map<std::string, fleet::FleetConfig> configs;
    std::map<std::string, fleet::BackendServer> servers;

    [[nodiscard]] std::optional<fleet::FleetConfig> config(std::string_view text, Findings& findings) const override;
    [[nodiscard]] std::optional<fleet::BackendServer> server(
        const std::string& id, std::string_view text, Findings& findings) const override;
    /** Keys are `evacuate DOMAIN`. */
    [[nodiscard]] std::optional<FailureDomain> evacuatedDomain(std::string_view key) const override;
    /** Only the text `please` is valid. */
    [[nodiscard]] bool isEvacuation(std::string_view key, std::string_view text, Findings& findings) const override;
};

/**
 * One core that proxies requests, with a simulated log, transport and clock. The log answers at once or not at all.
 *
 * Routes of host `desk`: `/plain/` (idempotent, at most two servers), `/order/` (not idempotent), `/stream/` (events,
 * not idempotent) and `/resumable/` (events, may be resumed at another server). Account `club` has key `k`.
 */
class GatewayWorld {
public:
    explicit GatewayWorld(std::int64_t budget = 1'000'000, const LoadExchangeSettings& loads = {});

    /** Publishes a configuration and six servers, and lets the core read them and the ledger until it is ready. */
    void becomeReady();
    /** Advances the clock by this time, with ticks and reads of the log. */
    void run(Duration time);

    /** A request arrives. @param answerTokens Maximum tokens of the answer. */
    CallId arrive(const std::string& path, std::int64_t promptTokens = 0, std::int64_t answerTokens = 0,
        Duration deadline = std::chrono::seconds(5), const std::string& key = "k");
    /** Ends the attempt. @param events Events forwarded to the caller in total. @param announcement What the answer's
     * head states about the backend server. */
    void end(const ProxyDispatch& dispatch, ProxyAttemptEnd attemptEnd, int status = 200, std::uint64_t events = 0,
        const std::optional<routing::Announcement>& announcement = std::nullopt);
    /** The relay turns the attempt away, or can't be reached. */
    void failRelay(const ProxyDispatch& dispatch, ConnectFailure failure = ConnectFailure::Relay);
    /** Answers all probes of links that were asked for. @return Number of probes. */
    std::size_t endProbes(bool connected);
    /** A peer of domain `a` that relays connections sends its heartbeat. */
    void hearRelay(std::uint64_t incarnation, const std::vector<std::string>& unreachableDomains = {});
    [[nodiscard]] static PeerAddress addressOfRelay(std::uint64_t incarnation);
    /** @return The answer to another router's request for a connection; nullopt: none yet. */
    [[nodiscard]] std::optional<AnswerRelay> relayAnswerOf(RelayId relay) const;
    /** Ends the attempt by a lost connection, as when the backend server crashes. */
    void loseConnection(const ProxyDispatch& dispatch);
    /** Reports the number of events forwarded to the caller. */
    void progress(const ProxyDispatch& dispatch, std::uint64_t events);
    /** Gives the event to the core and executes the resulting actions. */
    void handle(const Event& event);

    /** @return The dispatch of the call's running attempt; nullopt: none is running. */
    [[nodiscard]] std::optional<ProxyDispatch> dispatchOf(CallId call) const;
    [[nodiscard]] std::optional<Reply> replyOf(CallId call) const;
    [[nodiscard]] bool failureForwarded(CallId call) const { return failures_.contains(call); }
    [[nodiscard]] bool cancelled(const ProxyDispatch& dispatch) const { return cancelled_.contains(dispatch.attempt); }
    [[nodiscard]] bool ready() const noexcept { return ready_; }
    [[nodiscard]] bool overloadLimitReached() const noexcept { return overloadLimitReached_; }
    [[nodiscard]] Instant now() const noexcept { return now_; }
    [[nodiscard]] bool stopReady() const noexcept { return stopReady_; }
    /** @return How many reads of the ledger were expedited. */
    [[nodiscard]] int expeditedReads() const noexcept { return expeditedReads_; }
    /** @return The account's budget by the records in the log. */
    [[nodiscard]] ledger::BudgetView budget() const;
    [[nodiscard]] Tokens billed() const { return budget().billed; }
    [[nodiscard]] std::vector<LogLine> lines(const std::string& kind) const;
    /** @return The heartbeat that was sent last; nullopt: none was sent. */
    [[nodiscard]] const std::optional<Heartbeat>& lastHeartbeat() const noexcept { return lastHeartbeat_; }

    /** Publishes the current configuration with a change, under the next version. */
    template <typename Change> void publish(const Change& change)
    {
        fleet::FleetConfig next = config_;
        ++next.version;
        change(next);
        putConfig(std::move(next));
    }
    /** Number of the entries that putServer() writes. */
    std::uint64_t entrySequence = 0;
    void putServer(const std::string& id, const std::string& service, const std::string& domain,
        fleet::ServerState state = fleet::ServerState::Ready, std::uint64_t startedAt = 0, Duration warmupLeft = {},
        const std::string& version = "v1");
    /** The router missed changes, so it reads the list of servers anew; its servers are left out. */
    void listServers();
    /** A caller whose stream broke takes it up again. @param stream Id of the attempt that began the stream. */
    CallId takeUp(const std::string& path, const std::string& stream, Duration deadline = std::chrono::seconds(5));
    /** @return The request id of a call. */
    [[nodiscard]] static std::string requestIdOf(CallId call);
    /** @return Messages of this kind that were sent to peers, with the receivers. */
    template <typename Message> [[nodiscard]] std::vector<std::pair<PeerAddress, Message>> sent() const
    {
        std::vector<std::pair<PeerAddress, Message>> found;
        for (const SendPeer& message : sentToPeers_) {
            if (const auto* wanted = std::get_if<Message>(&message.message)) {
                found.emplace_back(message.to, *wanted);
            }
        }
        return found;
    }
    /** The operators request a domain's evacuation. @param text See NamedCodec::isEvacuation(). */
    void evacuate(const std::string& domain, const std::string& text = "please");
    /** The operators take the evacuation back. */
    void endEvacuation(const std::string& domain);
    /** The router's reader restarts and reads all records of the operators' stream. @param position Offset after the
     * last record that the list includes. */
    void relistOperatorRecords(const std::map<std::string, std::string>& records, std::uint64_t position);
    [[nodiscard]] std::uint64_t lastKeyedOffset() const noexcept { return keyedOffset_; }
    /** The VMs register themselves; this router's address is 127.0.0.1:7400. */
    void registerVms(const std::vector<std::string>& addresses);
    /** Another writer stores a record under this key that can't be read as a backend server. */
    void putUnreadable(const std::string& key);
    void dropServer(const std::string& id);
    /** One read brings a server's entry and its removal. */
    void flashServer(const std::string& id, const std::string& service, const std::string& version);
    /** Another router states in the log that streams may have begun at this version. */
    void writeVersionRecord(const std::string& key, const std::string& service, const std::string& version);
    /** Another router reports that requests for these paths were lost when a backend server crashed. */
    void reportLost(const std::vector<std::string>& paths, const std::string& server, Incarnation reporter);
    /** Another router's report is read from the log. */
    void report(const quarantine::Report& report);
    /** @return Whether the report is in the log. */
    [[nodiscard]] bool hasReport(const quarantine::ReportId& id) const
    {
        return reports_.contains(quarantine::keyOf(id));
    }
    /** @return Number of crash reports in the log. */
    [[nodiscard]] std::size_t reports() const noexcept { return reports_.size(); }
    /** @return Fingerprint of a request for this path. */
    [[nodiscard]] static quarantine::Fingerprint fingerprintOf(const std::string& path);
    /** Another router appends an entry to the ledger. */
    void writeLedger(Incarnation author, ledger::Entry entry);

    /** False: reads and appends fail. */
    bool logReachable = true;
    /** Makes the texts of the configurations that are published longer. */
    std::string configPadding {};
    /** False: reads of the operators' records hang, while the log answers other calls. */
    bool configReadable = true;
    /** False: the log doesn't answer what it is asked for the end of a stream. */
    bool logAnswers = true;
    /** Number of entries of servers that the log has and the core hasn't read. */
    std::uint64_t unreadEntries = 0;
    /** Hash of a part that the prompts of all requests begin with; 0: they have no part in common. */
    std::uint64_t sharedPart = 0;
    /** True: once the core has ended a call, the transport reports how many events the caller received. */
    bool reportsEventCounts = true;

private:
    /** @return A request of the account `club`, without tokens. */
    [[nodiscard]] ProxyRequestArrived makeArrival(const std::string& path, Duration deadline);
    void putConfig(fleet::FleetConfig config);
    void execute(Actions& actions);
    void on(const Append& append);
    void on(const Follow& follow);
    void on(const ReadEnd& read);
    void writeReport(const Append& append);
    void writeVersions(const Append& append);
    void readLog();
    /** Delivers what the log has answered. */
    void deliverAnswers();

    std::shared_ptr<NamedCodec> codec_ = std::make_shared<NamedCodec>();
    fleet::FleetConfig config_;
    std::unique_ptr<Core> core_;
    Instant now_ { std::chrono::seconds(100) };
    std::vector<std::string> ledger_;
    std::uint64_t nextRead_ = 0;
    bool following_ = false;
    std::deque<Event> pending_;
    std::uint64_t keyedOffset_ = 0;
    Instant configReadAt_ {};
    std::uint64_t lastWritten_ = 0;
    std::uint64_t lastCall_ = 0;
    void reportEventCount(CallId call);

    std::map<std::string, std::string> reports_;
    std::map<std::string, std::string> versionRecords_;
    std::uint64_t lastReport_ = 0;
    std::map<CallId, ProxyDispatch> dispatches_;
    std::map<CallId, std::uint64_t> forwardedEvents_;
    std::map<CallId, Reply> replies_;
    std::set<CallId> failures_;
    std::set<AttemptId> cancelled_;
    std::vector<SendPeer> sentToPeers_;
    std::vector<BackendId> probes_;
    std::map<RelayId, AnswerRelay> relayAnswers_;
    std::vector<LogLine> lines_;
    std::optional<Heartbeat> lastHeartbeat_;
    bool ready_ = false;
    bool overloadLimitReached_ = false;
    bool stopReady_ = false;
    int expeditedReads_ = 0;
};

} // namespace swiftlift::node::testing
