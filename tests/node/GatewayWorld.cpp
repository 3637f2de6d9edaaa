#include "node/GatewayWorld.h"

#include <algorithm>
#include <utility>

#include <gtest/gtest.h>

#include "swiftlift/ledger/EntryCodec.h"
#include "swiftlift/streams/VersionRecord.h"

namespace swiftlift::node::testing {

namespace {

    constexpr Duration tickPeriod = std::chrono::milliseconds(20);
    constexpr Duration pollWait = std::chrono::seconds(1);
    const StreamName ledgerName { "ledger-0" };
    const StreamName configName { "fleet-config" };
    const StreamName serverName { "backend-servers" };
    const StreamName reportName { "crash-reports" };
    const StreamName versionsName { "stream-versions" };

    fleet::Route route(const std::string& name, fleet::AnswerKind answer)
    {
        fleet::Route result;
        result.name = RouteName(name);
        result.host = "desk";
        result.pathPrefix = "/" + name + "/";
        result.answer = answer;
        result.idempotent = name == "plain" || name == "resumable";
        result.resumable = name == "resumable";
        result.sharesPrefixes = answer == fleet::AnswerKind::Events;
        result.timeLimit = std::chrono::seconds(10);
        result.objective = std::chrono::milliseconds(200);
        result.maxServers = 2;
        result.targets = { { ServiceName(answer == fleet::AnswerKind::Events ? "model" : "app"), 1 } };
        return result;
    }

} // namespace

std::optional<fleet::FleetConfig> NamedCodec::config(std::string_view text, Findings& findings) const
{
    const auto found = configs.find(std::string(text));
    if (found == configs.end()) {
        findings.push_back({ "config", 3, 7, "no configuration" });
        return std::nullopt;
    }
    return found->second;
}

std::optional<fleet::BackendServer> NamedCodec::server(
    const std::string& id, std::string_view text, Findings& findings) const
{
    const auto found = servers.find(std::string(text));
    if (found == servers.end()) {
        findings.push_back({ id, 1, 1, "no server" });
        return std::nullopt;
    }
    return found->second;
}

std::optional<FailureDomain> NamedCodec::evacuatedDomain(std::string_view key) const
{
    constexpr std::string_view prefix = "evacuate ";
    return key.starts_with(prefix) ? std::optional(FailureDomain(std::string(key.substr(prefix.size()))))
                                   : std::nullopt;
}

bool NamedCodec::isEvacuation(std::string_view key, std::string_view text, Findings& findings) const
{
    if (text != "please") {
        findings.push_back({ std::string(key), 1, 1, "no evacuation" });
    }
    return text == "please";
}

GatewayWorld::GatewayWorld(std::int64_t budget, const LoadExchangeSettings& loads)
{
    using fleet::AnswerKind;
    config_.routes = { route("plain", AnswerKind::Whole), route("order", AnswerKind::Whole),
        route("stream", AnswerKind::Events), route("resumable", AnswerKind::Events) };
    config_.services = { { ServiceName("model"), fleet::EngineFacts { 8, 7, Tokens { 10'000'000 } } },
        { ServiceName("app"), std::nullopt } };
    config_.accounts = { { AccountId("club"), { "k" }, std::nullopt, Tokens { budget } } };
    CoreSettings settings;
    settings.incarnation = Incarnation { 77 };
    settings.peerAddress = PeerAddress { "127.0.0.1:7400" };
    settings.domain = FailureDomain { "a" };
    settings.region = Region { "r" };
    settings.routingPolicy = "rendezvous";
    settings.fleetCodec = codec_;
    settings.ledger.checkpoints = CheckpointPlace::SeparateStream;
    settings.ledger.batchPeriod = std::chrono::milliseconds(100);
    settings.watermarks = ledger::Watermarks { 8, 10 };
    settings.preallocationPercent = 50;
    settings.retries = { 0.2, 50, std::chrono::seconds(4) };
    settings.loads = loads;
    settings.stopAcceptance = std::chrono::seconds(2);
    settings.stopWork = std::chrono::seconds(6);
    settings.bandwidth = 20;
    core_ = std::make_unique<Core>(settings);
    Actions actions;
    core_->start(now_, actions);
    execute(actions);
}

void GatewayWorld::becomeReady()
{
    config_.version = 3;
    putConfig(config_);
    handle(KeyedRecords { serverName, {}, true });
    for (const char* id : { "m-1", "m-2", "m-3" }) {
        putServer(id, "model", "a");
    }
    for (const char* id : { "p-1", "p-2", "p-3" }) {
        putServer(id, "app", "a");
    }
    registerVms({ "127.0.0.1:7400" });
    run(std::chrono::seconds(5));
}

void GatewayWorld::putConfig(fleet::FleetConfig config)
{
    config_ = std::move(config);
    const std::string name = "version " + std::to_string(config_.version) + configPadding;
    codec_->configs[name] = config_;
    handle(KeyedRecords { configName, { { Offset { ++keyedOffset_ }, "config", name } }, false });
}

void GatewayWorld::putServer(const std::string& id, const std::string& service, const std::string& domain,
    fleet::ServerState state, std::uint64_t startedAt, Duration warmupLeft, const std::string& version)
{
    const std::string name = id + (state == fleet::ServerState::Ready ? "" : " leaving") + " of "
        + std::to_string(startedAt) + " cold for " + std::to_string(warmupLeft.count()) + " at " + version + " number "
        + std::to_string(entrySequence);
    codec_->servers[name] = { BackendId(id), startedAt, BackendAddress("127.0.0.1:1"), ServiceName(service),
        FailureDomain(domain), 8, state, warmupLeft, SoftwareVersion(version), entrySequence };
    const Offset offset { ++keyedOffset_ };
    handle(KeyedRecords { serverName, { { offset, id, name } }, false, {}, Offset { offset.value() + 1 } });
}

void GatewayWorld::flashServer(const std::string& id, const std::string& service, const std::string& version)
{
    const std::string name = "flash of " + id;
    codec_->servers[name] = { BackendId(id), 0, BackendAddress("127.0.0.1:1"), ServiceName(service), FailureDomain("a"),
        8, fleet::ServerState::Ready, {}, SoftwareVersion(version), entrySequence };
    const Offset put { ++keyedOffset_ };
    const Offset dropped { ++keyedOffset_ };
    handle(KeyedRecords {
        serverName, { { put, id, name }, { dropped, id, std::nullopt } }, false, {}, Offset { dropped.value() + 1 } });
}

void GatewayWorld::listServers() { handle(KeyedRecords { serverName, {}, true, {}, Offset { keyedOffset_ + 1 } }); }

void GatewayWorld::evacuate(const std::string& domain, const std::string& text)
{
    handle(KeyedRecords { configName, { { Offset { ++keyedOffset_ }, "evacuate " + domain, text } }, false });
}

void GatewayWorld::endEvacuation(const std::string& domain)
{
    handle(KeyedRecords { configName, { { Offset { ++keyedOffset_ }, "evacuate " + domain, std::nullopt } }, false });
}

void GatewayWorld::relistOperatorRecords(const std::map<std::string, std::string>& records, std::uint64_t position)
{
    KeyedRecords all { configName, {}, true, {}, Offset { position } };
    for (const auto& [key, text] : records) {
        all.records.push_back({ Offset { position - 1 }, key, text });
    }
    handle(all);
}

void GatewayWorld::registerVms(const std::vector<std::string>& addresses)
{
    KeyedRecords vms { StreamName { "vms" }, {}, true };
    for (const std::string& address : addresses) {
        vms.records.push_back({ Offset { ++keyedOffset_ }, address, R"({"domain":"a","region":"r"})" });
    }
    handle(vms);
}

void GatewayWorld::putUnreadable(const std::string& key)
{
    handle(KeyedRecords { serverName, { { Offset { ++keyedOffset_ }, key, "\xff" } }, false });
}

void GatewayWorld::dropServer(const std::string& id)
{
    handle(KeyedRecords { serverName, { { Offset { ++keyedOffset_ }, id, std::nullopt } }, false });
}

void GatewayWorld::writeVersionRecord(const std::string& key, const std::string& service, const std::string& version)
{
    streams::VersionRecord record;
    record.versions[ServiceName(service)].emplace(version);
    versionRecords_[key] = streams::encode(record);
}

void GatewayWorld::writeLedger(Incarnation author, ledger::Entry entry)
{
    ledger::Batch batch;
    batch.items.push_back({ author, ++lastWritten_, std::move(entry) });
    ledger_.push_back(ledger::encode(batch));
}

void GatewayWorld::handle(const Event& event)
{
    Actions actions;
    core_->handle(event, now_, actions);
    execute(actions);
}

void GatewayWorld::run(Duration time)
{
    const Instant end = now_ + time;
    while (now_ < end) {
        now_ += tickPeriod;
        readLog();
        handle(Tick {});
    }
}

void GatewayWorld::deliverAnswers()
{
    while (!pending_.empty()) {
        const Event event = pending_.front();
        pending_.pop_front();
        handle(event);
    }
}

void GatewayWorld::readLog()
{
    deliverAnswers();
    if (!following_) {
        return;
    }
    if (!logReachable) {
        handle(LogUnreachable { ledgerName, "read" });
        return;
    }
    LogRecords records { ledgerName, Offset { nextRead_ }, {}, Offset { ledger_.size() } };
    for (; nextRead_ < ledger_.size(); ++nextRead_) {
        records.records.push_back(ledger_[nextRead_]);
    }
    handle(records);
    // A long poll of the configuration returns without records after its wait time.
    if (configReadable && now_ - configReadAt_ >= pollWait) {
        configReadAt_ = now_;
        handle(KeyedRecords { configName, {}, false });
    }
}

std::string GatewayWorld::requestIdOf(CallId call) { return "r" + std::to_string(call.value()); }

ProxyRequestArrived GatewayWorld::makeArrival(const std::string& path, Duration deadline)
{
    ProxyRequestArrived arrived;
    arrived.call = CallId { ++lastCall_ };
    arrived.facts.id = requestIdOf(arrived.call);
    arrived.facts.host = "desk";
    arrived.facts.path = path;
    arrived.facts.key = "k";
    arrived.facts.deadline = deadline;
    return arrived;
}

CallId GatewayWorld::takeUp(const std::string& path, const std::string& stream, Duration deadline)
{
    ProxyRequestArrived arrived = makeArrival(path, deadline);
    arrived.facts.continuesStream = true;
    arrived.facts.resumes = StreamId(stream);
    arrived.at = now_;
    handle(arrived);
    deliverAnswers();
    return arrived.call;
}

CallId GatewayWorld::arrive(const std::string& path, std::int64_t promptTokens, std::int64_t answerTokens,
    Duration deadline, const std::string& key)
{
    ProxyRequestArrived arrived = makeArrival(path, deadline);
    arrived.facts.key = key;
    arrived.facts.promptTokens = Tokens { promptTokens };
    arrived.facts.maxAnswerTokens = Tokens { answerTokens };
    if (sharedPart != 0) {
        arrived.facts.prefix.push_back({ sharedPart, Tokens { promptTokens } });
    }
    arrived.facts.prefix.push_back({ 5, Tokens { promptTokens } });
    arrived.facts.content = fingerprintOf(path).content;
    arrived.at = now_;
    handle(arrived);
    return arrived.call;
}

void GatewayWorld::end(const ProxyDispatch& dispatch, ProxyAttemptEnd attemptEnd, int status, std::uint64_t events,
    const std::optional<routing::Announcement>& announcement)
{
    dispatches_.erase(dispatch.call);
    forwardedEvents_[dispatch.call] = std::max(forwardedEvents_[dispatch.call], events);
    const auto connectFailure
        = attemptEnd == ProxyAttemptEnd::Unreachable ? ConnectFailure::Server : ConnectFailure::None;
    handle(ProxyAttemptEnded {
        dispatch.attempt, attemptEnd, status, events, "ended by the test", false, announcement, connectFailure });
}

void GatewayWorld::failRelay(const ProxyDispatch& dispatch, ConnectFailure failure)
{
    dispatches_.erase(dispatch.call);
    handle(ProxyAttemptEnded {
        dispatch.attempt, ProxyAttemptEnd::Unreachable, 0, 0, "relay: refused", false, std::nullopt, failure });
}

std::size_t GatewayWorld::endProbes(bool connected)
{
    const auto result = connected ? routing::ConnectResult::Connected : routing::ConnectResult::Unreachable;
    const std::vector<BackendId> probes = std::exchange(probes_, {});
    for (const BackendId& backend : probes) {
        handle(ProbeEnded { backend, result, "ended by the test" });
    }
    return probes.size();
}

PeerAddress GatewayWorld::addressOfRelay(std::uint64_t incarnation)
{
    return PeerAddress { "127.0.0.1:" + std::to_string(7000 + incarnation) };
}

void GatewayWorld::hearRelay(std::uint64_t incarnation, const std::vector<std::string>& unreachableDomains)
{
    Heartbeat heartbeat;
    heartbeat.domain = FailureDomain { "a" };
    heartbeat.region = Region { "r" };
    heartbeat.logReachable = true;
    heartbeat.relay = RelayAddress { "127.0.0.1:" + std::to_string(8000 + incarnation) };
    for (const std::string& domain : unreachableDomains) {
        heartbeat.unreachableDomains.emplace_back(domain);
    }
    handle(PeerReceived { Incarnation { incarnation }, addressOfRelay(incarnation), heartbeat });
}

std::optional<AnswerRelay> GatewayWorld::relayAnswerOf(RelayId relay) const
{
    const auto found = relayAnswers_.find(relay);
    return found == relayAnswers_.end() ? std::nullopt : std::optional(found->second);
}

void GatewayWorld::loseConnection(const ProxyDispatch& dispatch)
{
    dispatches_.erase(dispatch.call);
    handle(ProxyAttemptEnded { dispatch.attempt, ProxyAttemptEnd::Broken, 0, 0, "connection lost", true });
}

quarantine::Fingerprint GatewayWorld::fingerprintOf(const std::string& path)
{
    return { AccountId("club"), { std::hash<std::string> {}(path), 1 } };
}

void GatewayWorld::reportLost(const std::vector<std::string>& paths, const std::string& server, Incarnation reporter)
{
    quarantine::Report report { { reporter, ++lastReport_ }, {}, quarantine::BackendInstance { BackendId(server), 0 } };
    for (const std::string& path : paths) {
        report.requests.push_back(fingerprintOf(path));
    }
    handle(KeyedRecords { reportName,
        { { Offset { ++keyedOffset_ }, quarantine::keyOf(report.id), quarantine::encode(report) } }, false });
}

void GatewayWorld::report(const quarantine::Report& report)
{
    const std::string key = quarantine::keyOf(report.id);
    const std::string value = quarantine::encode(report);
    reports_[key] = value;
    handle(KeyedRecords { reportName, { { Offset { ++keyedOffset_ }, key, value } }, false });
}

void GatewayWorld::progress(const ProxyDispatch& dispatch, std::uint64_t events)
{
    forwardedEvents_[dispatch.call] = std::max(forwardedEvents_[dispatch.call], events);
    handle(ProxyAttemptProgress { dispatch.attempt, events });
}

std::optional<ProxyDispatch> GatewayWorld::dispatchOf(CallId call) const
{
    const auto found = dispatches_.find(call);
    return found == dispatches_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<Reply> GatewayWorld::replyOf(CallId call) const
{
    const auto found = replies_.find(call);
    return found == replies_.end() ? std::nullopt : std::optional(found->second);
}

ledger::BudgetView GatewayWorld::budget() const
{
    ledger::FoldLimits limits;
    ledger::Fold fold(limits);
    std::uint64_t offset = 0;
    for (const std::string& record : ledger_) {
        std::string reason;
        std::vector<ledger::Effect> effects;
        const auto batch = ledger::decodeBatch(record, reason);
        EXPECT_TRUE(batch && fold.apply(Offset { offset++ }, *batch, effects)) << reason;
    }
    const auto budget = fold.budget({ AccountId("club"), BudgetId("prepaid") });
    return budget.value_or(ledger::BudgetView {});
}

std::vector<LogLine> GatewayWorld::lines(const std::string& kind) const
{
    std::vector<LogLine> found;
    for (const LogLine& line : lines_) {
        if (line.kind == kind) {
            found.push_back(line);
        }
    }
    return found;
}

void GatewayWorld::execute(Actions& actions)
{
    for (const Action& action : actions) {
        if (const auto* dispatch = std::get_if<ProxyDispatch>(&action)) {
            dispatches_[dispatch->call] = *dispatch;
            forwardedEvents_.try_emplace(dispatch->call, 0);
        } else if (const auto* reply = std::get_if<Reply>(&action)) {
            EXPECT_FALSE(replies_.contains(reply->call)) << "second final answer to the same caller";
            replies_[reply->call] = *reply;
            reportEventCount(reply->call);
        } else if (const auto* failure = std::get_if<ProxyFailureReply>(&action)) {
            failures_.insert(failure->call);
            reportEventCount(failure->call);
        } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
            cancelled_.insert(cancel->attempt);
        } else if (const auto* readiness = std::get_if<AnnounceReadiness>(&action)) {
            ready_ = readiness->ready;
            overloadLimitReached_ = readiness->overloadLimitReached;
        } else if (const auto* probe = std::get_if<ProbeBackend>(&action)) {
            probes_.push_back(probe->backend);
        } else if (const auto* answer = std::get_if<AnswerRelay>(&action)) {
            relayAnswers_[answer->relay] = *answer;
        } else if (const auto* append = std::get_if<Append>(&action)) {
            on(*append);
        } else if (const auto* follow = std::get_if<Follow>(&action)) {
            on(*follow);
        } else if (const auto* expedited = std::get_if<ExpediteRead>(&action)) {
            expeditedReads_ += expedited->stream == ledgerName ? 1 : 0;
        } else if (const auto* read = std::get_if<ReadEnd>(&action)) {
            on(*read);
        } else if (const auto* line = std::get_if<LogLine>(&action)) {
            lines_.push_back(*line);
        } else if (const auto* message = std::get_if<SendPeer>(&action)) {
            if (const auto* heartbeat = std::get_if<Heartbeat>(&message->message)) {
                lastHeartbeat_ = *heartbeat;
            } else {
                sentToPeers_.push_back(*message);
            }
        }
        stopReady_ = stopReady_ || std::holds_alternative<StopReady>(action);
    }
}

void GatewayWorld::reportEventCount(CallId call)
{
    if (const auto forwarded = forwardedEvents_.find(call); reportsEventCounts && forwarded != forwardedEvents_.end()) {
        pending_.push_back(ProxyRequestAbandoned { call, forwarded->second });
    }
}

void GatewayWorld::on(const Append& append)
{
    if (append.stream == reportName) {
        writeReport(append);
    } else if (append.stream == versionsName) {
        writeVersions(append);
    }
    if (append.stream != ledgerName) {
        return;
    }
    if (logReachable) {
        ledger_.push_back(append.record);
        pending_.push_back(AppendAnswered { append.stream });
    } else {
        pending_.push_back(LogUnreachable { append.stream, "append" });
    }
}

void GatewayWorld::writeVersions(const Append& append)
{
    if (!logReachable) {
        pending_.push_back(LogUnreachable { append.stream, "append" });
        return;
    }
    if (append.record.empty()) {
        versionRecords_.erase(append.key);
    } else {
        versionRecords_[append.key] = append.record;
    }
    pending_.push_back(AppendAnswered { append.stream });
}

void GatewayWorld::writeReport(const Append& append)
{
    if (!logReachable) {
        pending_.push_back(LogUnreachable { append.stream, "append" });
        return;
    }
    const auto value = append.record.empty() ? std::nullopt : std::optional(append.record);
    if (value) {
        reports_[append.key] = *value;
    } else {
        reports_.erase(append.key);
    }
    pending_.push_back(AppendAnswered { append.stream });
    pending_.push_back(KeyedRecords { append.stream, { { Offset { ++keyedOffset_ }, append.key, value } }, false });
}

void GatewayWorld::on(const ReadEnd& read)
{
    if (!logReachable) {
        pending_.push_back(StreamEnd { read.stream, read.number, std::nullopt, "read" });
    } else if (logAnswers) {
        pending_.push_back(StreamEnd { read.stream, read.number, Offset { read.from.value() + unreadEntries } });
    }
}

void GatewayWorld::on(const Follow& follow)
{
    if (follow.stream == ledgerName) {
        following_ = true;
        nextRead_ = follow.from.value();
    } else if (follow.stream == versionsName) {
        KeyedRecords all { follow.stream, {}, true };
        for (const auto& [key, record] : versionRecords_) {
            all.records.push_back({ Offset {}, key, record });
        }
        pending_.push_back(std::move(all));
    } else if (follow.kind == StreamKind::KeyedOnce || follow.stream == reportName) {
        pending_.push_back(KeyedRecords { follow.stream, {}, true });
    }
}

} // namespace swiftlift::node::testing
