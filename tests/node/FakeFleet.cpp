#include "node/FakeFleet.h"

#include <algorithm>
#include <cassert>

#include "swiftlift/config/Record.h"
#include "swiftlift/ledger/EntryCodec.h"
#include "swiftlift/ledger/Shard.h"
#include "swiftlift/wire/PeerCodec.h"

namespace swiftlift::node::testing {

namespace {

    constexpr Incarnation operatorId { 1 };
    constexpr Duration tickPeriod = std::chrono::milliseconds(20);
    constexpr Duration pollPeriod = std::chrono::milliseconds(10);
    constexpr Duration failedPollPeriod = std::chrono::milliseconds(300);
    const StreamName ledgerName = ledger::ledgerStream(0);
    const StreamName configName { "config" };

} // namespace

std::string plansDocument(const std::vector<std::string>& accounts, const std::string& weighting)
{
    std::string text = "service: plans\nkind: model\nmodel: stitch\nweighting: " + weighting + "\naccounts:\n";
    for (const auto& account : accounts) {
        text += "  - account: " + account + "\n    budget: main\n";
    }
    return text
        + "backends:\n"
          "  - address: 127.0.11.1:9001\n"
          "    domain: a\n"
          "  - address: 127.0.12.1:9001\n"
          "    domain: b\n";
}

FakeFleet::FakeFleet(std::string holdingPolicy, std::uint32_t splitWays)
    : holdingPolicy_(std::move(holdingPolicy))
    , splitWays_(splitWays)
{
}

Incarnation FakeFleet::incarnationOf(std::size_t vm) const { return vms_[vm].incarnation; }

RequestKey FakeFleet::keyOf(const std::string& account, const std::string& id)
{
    return { std::hash<std::string> {}(account), std::hash<std::string> {}(id) };
}

void FakeFleet::later(Duration delay, std::function<void()> work)
{
    tasks_.push({ now_ + delay, order_++, std::move(work) });
}

std::size_t FakeFleet::addVm(const std::string& domain)
{
    const std::size_t vm = vms_.size();
    vms_.emplace_back();
    vms_[vm].address = PeerAddress { "127.0.0." + std::to_string(vm + 1) + ":7400" };
    vms_[vm].domain = FailureDomain { domain };
    startCore(vm);
    return vm;
}

void FakeFleet::startCore(std::size_t vm)
{
    Vm& vmState = vms_[vm];
    vmState.incarnation = Incarnation { nextIncarnation_++ };
    ++vmState.processNumber;
    vmState.running = true;
    vmState.stopReady = false;
    vmState.heldEvents.clear();
    vmState.followed.clear();
    vmState.attempts.clear();
    CoreSettings settings;
    settings.incarnation = vmState.incarnation;
    settings.peerAddress = vmState.address;
    settings.domain = vmState.domain;
    settings.relayAddress = RelayAddress { vmState.address.value() };
    settings.region = Region { "r" };
    settings.seed = vmState.incarnation.value();
    settings.holdingPolicy = holdingPolicy_;
    settings.splitWays = splitWays_;
    for (const Vm& other : vms_) {
        settings.seeds.push_back(other.address);
    }
    vmState.core = std::make_unique<Core>(settings);
    Actions actions;
    vmState.core->start(now_, actions);
    const std::uint64_t processNumber = vmState.processNumber;
    later(tickPeriod, [this, vm, processNumber] { tick(vm, processNumber); });
    execute(vm, actions);
}

void FakeFleet::crash(std::size_t vm)
{
    vms_[vm].running = false;
    ++vms_[vm].processNumber;
}

void FakeFleet::replace(std::size_t vm)
{
    crash(vm);
    vms_[vm].paused = false;
    startCore(vm);
}

void FakeFleet::pause(std::size_t vm) { vms_[vm].paused = true; }

void FakeFleet::resume(std::size_t vm)
{
    vms_[vm].paused = false;
    for (const Event& event : std::exchange(vms_[vm].heldEvents, {})) {
        deliver(vm, vms_[vm].processNumber, event);
    }
}

void FakeFleet::cut(std::size_t left, std::size_t right)
{
    cuts_.insert({ left, right });
    cuts_.insert({ right, left });
}

void FakeFleet::cutFromLog(std::size_t vm) { vms_[vm].cutFromLog = true; }

void FakeFleet::cutFromEngines(std::size_t vm) { vms_[vm].cutFromEngines = true; }

void FakeFleet::heal()
{
    cuts_.clear();
    for (Vm& vm : vms_) {
        vm.cutFromLog = false;
        vm.cutFromEngines = false;
    }
}

bool FakeFleet::reachesLog(std::size_t vm) const { return !log.outage && !vms_[vm].cutFromLog; }

void FakeFleet::appendDirectly(const StreamName& stream, const std::string& record)
{
    streams_[stream].push_back(record);
}

void FakeFleet::appendEntry(ledger::Entry entry)
{
    ledger::Batch batch;
    batch.items.push_back({ operatorId, ++operatorSequence_, std::move(entry) });
    appendDirectly(ledgerName, ledger::encode(batch));
}

void FakeFleet::openAccount(const std::string& account)
{
    appendEntry(ledger::OpenAccount { AccountId { account }, "key-of-" + account });
}

void FakeFleet::topUp(const std::string& account, std::int64_t tokens)
{
    appendEntry(ledger::TopUp { { AccountId { account }, BudgetId { "main" } }, Tokens { tokens } });
}

void FakeFleet::publish(const std::string& document)
{
    config::PublishRequest request;
    request.service = ServiceName { "plans" };
    request.document = document;
    request.author = "test";
    request.id = ++nextPublish_;
    appendDirectly(configName, config::encode(request));
}

CallId FakeFleet::send(std::size_t vm, const TestRequest& request)
{
    const CallId call { ++nextCall_ };
    CallerRequest sent;
    sent.account = AccountId { request.account };
    sent.keyHash = "key-of-" + request.account;
    sent.service = ServiceName { request.service };
    sent.id = CallerRequestId { request.id };
    sent.key = keyOf(request.account, request.id);
    sent.attempt = request.attempt;
    sent.deadline = request.deadline;
    sent.idempotent = request.idempotent;
    sent.promptTokens = Tokens { request.promptTokens };
    sent.maxAnswerTokens = Tokens { request.maxAnswerTokens };
    callers_[call] = { request.account, request.id };
    deliver(vm, vms_[vm].processNumber, RequestArrived { call, sent });
    return call;
}

std::string FakeFleet::queryOperatorView(std::size_t vm, const std::string& topic, const std::string& argument)
{
    Actions actions;
    vms_[vm].core->handle(OperatorAsked { 1, topic, argument }, now_, actions);
    for (const Action& action : actions) {
        if (const auto* reply = std::get_if<OperatorReply>(&action)) {
            return reply->json;
        }
    }
    return "";
}

void FakeFleet::stop(std::size_t vm) { deliver(vm, vms_[vm].processNumber, StopRequested {}); }

void FakeFleet::deliver(std::size_t vm, std::uint64_t processNumber, const Event& event)
{
    Vm& vmState = vms_[vm];
    if (!vmState.running || vmState.processNumber != processNumber) {
        return;
    }
    if (vmState.paused) {
        if (!std::holds_alternative<Tick>(event)) {
            vmState.heldEvents.push_back(event);
        }
        return;
    }
    Actions actions;
    vmState.core->handle(event, now_, actions);
    execute(vm, actions);
}

void FakeFleet::tick(std::size_t vm, std::uint64_t processNumber)
{
    if (vms_[vm].processNumber != processNumber) {
        return;
    }
    deliver(vm, processNumber, Tick {});
    later(tickPeriod, [this, vm, processNumber] { tick(vm, processNumber); });
}

void FakeFleet::execute(std::size_t vm, Actions& actions)
{
    const std::uint64_t processNumber = vms_[vm].processNumber;
    for (Action& action : actions) {
        if (vms_[vm].processNumber != processNumber) {
            return;
        }
        if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
            on(vm, *dispatch);
        } else if (const auto* probe = std::get_if<ProbeBackend>(&action)) {
            on(vm, *probe);
        } else if (const auto* append = std::get_if<Append>(&action)) {
            on(vm, *append);
        } else if (const auto* follow = std::get_if<Follow>(&action)) {
            on(vm, *follow);
        } else if (const auto* sent = std::get_if<SendPeer>(&action)) {
            on(vm, *sent);
        } else if (const auto* reply = std::get_if<Reply>(&action)) {
            assert(!replies_.contains(reply->call) && "a caller gets only one final answer");
            replies_[reply->call] = *reply;
            if (onReply) {
                onReply(*reply);
            }
        } else if (const auto* order = std::get_if<SendOrder>(&action); order && onOrder) {
            onOrder(vm, *order);
        } else if (const auto* line = std::get_if<LogLine>(&action)) {
            vms_[vm].lines.push_back(*line);
        } else if (std::holds_alternative<StopReady>(action)) {
            vms_[vm].stopReady = true;
            crash(vm);
        } else if (std::holds_alternative<Restart>(action)) {
            ++vms_[vm].restarts;
            later(messageDelay, [this, vm] { replace(vm); });
        }
    }
}

void FakeFleet::on(std::size_t vm, const Dispatch& dispatch)
{
    const std::uint64_t processNumber = vms_[vm].processNumber;
    const AttemptId attempt = dispatch.attempt;
    if (const ConnectFailure failure = connectFailureOf(vm, dispatch); failure != ConnectFailure::None) {
        later(messageDelay, [this, vm, processNumber, attempt, failure] {
            deliver(vm, processNumber,
                AttemptEnded { attempt, AttemptEnd::NotStarted, {}, {}, {}, "connect", std::nullopt, failure });
        });
        return;
    }
    if (engines.refuseAll || engines.fullEngines.contains(dispatch.backend)) {
        later(messageDelay, [this, vm, processNumber, attempt] {
            deliver(vm, processNumber, AttemptEnded { attempt, AttemptEnd::NotStarted, {}, {}, {}, "refused" });
        });
        return;
    }
    ++runs_[dispatch.key];
    const bool breaks = engines.attemptsToBreak > 0;
    engines.attemptsToBreak -= breaks ? 1 : 0;
    later(engines.answerDelay, [this, vm, processNumber, attempt, breaks] {
        const Tokens answer { breaks ? 3 : 20 };
        deliver(vm, processNumber, AttemptProgress { attempt, answer });
        const auto end = breaks ? AttemptEnd::Broken : AttemptEnd::Completed;
        deliver(vm, processNumber, AttemptEnded { attempt, end, Tokens { 10 }, answer, {}, breaks ? "broken" : "" });
    });
}

ConnectFailure FakeFleet::connectFailureOf(std::size_t vm, const Dispatch& dispatch) const
{
    if (!dispatch.relay) {
        return vms_[vm].cutFromEngines ? ConnectFailure::Server : ConnectFailure::None;
    }
    const auto relay
        = std::ranges::find_if(vms_, [&](const Vm& other) { return other.address == dispatch.relay->peer; });
    const bool relays = relay != vms_.end() && relay->running && !relay->cutFromEngines;
    return relays ? ConnectFailure::None : ConnectFailure::Relay;
}

void FakeFleet::on(std::size_t vm, const ProbeBackend& probe)
{
    later(messageDelay, [this, vm, processNumber = vms_[vm].processNumber, backend = probe.backend] {
        deliver(vm, processNumber,
            ProbeEnded { backend,
                vms_[vm].cutFromEngines ? routing::ConnectResult::Unreachable : routing::ConnectResult::Connected,
                "probe" });
    });
}

void FakeFleet::on(std::size_t vm, const Append& append)
{
    const std::uint64_t processNumber = vms_[vm].processNumber;
    const StreamName stream = append.stream;
    if (!reachesLog(vm)) {
        later(messageDelay, [this, vm, processNumber, stream] {
            deliver(vm, processNumber, LogUnreachable { stream, "append" });
        });
        return;
    }
    ++traffic.appends;
    traffic.appendedBytes += append.record.size();
    // Faults apply to appends to the ledger only, so that renewals of the order lease don't use them up.
    const bool onLedger = stream == ledgerName;
    const bool late = onLedger && log.appendsToDelay > 0;
    const bool lost = onLedger && log.answersToLose > 0;
    log.appendsToDelay -= late ? 1 : 0;
    log.answersToLose -= !late && lost ? 1 : 0;
    later(
        late ? log.appendDelay : logDelay, [this, stream, record = append.record] { appendDirectly(stream, record); });
    later(logDelay + messageDelay, [this, vm, processNumber, stream, late, lost] {
        if (late || lost) {
            deliver(vm, processNumber, LogUnreachable { stream, "answer lost" });
        } else {
            deliver(vm, processNumber, AppendAnswered { stream });
        }
    });
}

void FakeFleet::on(std::size_t vm, const Follow& follow)
{
    const bool known = vms_[vm].followed.contains(follow.stream);
    vms_[vm].followed[follow.stream] = follow.from.value();
    if (!known) {
        const std::uint64_t processNumber = vms_[vm].processNumber;
        later(messageDelay, [this, vm, processNumber, stream = follow.stream] { poll(vm, processNumber, stream); });
    }
}

void FakeFleet::poll(std::size_t vm, std::uint64_t processNumber, const StreamName& stream)
{
    Vm& vmState = vms_[vm];
    if (vmState.processNumber != processNumber) {
        return;
    }
    if (vmState.paused) {
        later(pollPeriod, [this, vm, processNumber, stream] { poll(vm, processNumber, stream); });
        return;
    }
    if (!reachesLog(vm)) {
        deliver(vm, processNumber, LogUnreachable { stream, "read" });
        later(failedPollPeriod, [this, vm, processNumber, stream] { poll(vm, processNumber, stream); });
        return;
    }
    const auto& records = streams_[stream];
    std::uint64_t& from = vmState.followed[stream];
    LogRecords read { stream, Offset { from }, {}, Offset { records.size() } };
    for (; from < records.size(); ++from) {
        read.records.push_back(records[from]);
        traffic.readBytes += records[from].size();
    }
    deliver(vm, processNumber, read);
    later(pollPeriod, [this, vm, processNumber, stream] { poll(vm, processNumber, stream); });
}

void FakeFleet::on(std::size_t vm, const SendPeer& send)
{
    const auto target
        = std::find_if(vms_.begin(), vms_.end(), [&](const Vm& other) { return other.address == send.to; });
    if (target == vms_.end()) {
        return;
    }
    const auto to = static_cast<std::size_t>(target - vms_.begin());
    ++traffic.peerMessages;
    traffic.peerBytes
        += wire::encodePeerEnvelope({ vms_[vm].incarnation, vms_[vm].address, send.receiver, send.message, send.shard })
               .size();
    const PeerReceived received { vms_[vm].incarnation, vms_[vm].address, send.message, send.shard };
    later(messageDelay, [this, vm, to, receiver = send.receiver, received] {
        const bool otherProcess = receiver != Incarnation {} && receiver != vms_[to].incarnation;
        if (!cuts_.contains({ vm, to }) && !otherProcess) {
            deliver(to, vms_[to].processNumber, received);
        }
    });
}

void FakeFleet::run(Duration duration)
{
    const Instant end = now_ + duration;
    while (!tasks_.empty() && tasks_.top().when <= end) {
        Task task = tasks_.top();
        tasks_.pop();
        now_ = task.when;
        task.work();
    }
    now_ = end;
}

bool FakeFleet::runUntil(const std::function<bool()>& condition, Duration bound)
{
    const Instant end = now_ + bound;
    while (!condition()) {
        if (now_ >= end) {
            return false;
        }
        run(pollPeriod);
    }
    return true;
}

std::optional<Reply> FakeFleet::await(CallId call)
{
    (void)runUntil([&] { return replies_.contains(call); });
    return replyOf(call);
}

std::optional<Reply> FakeFleet::replyOf(CallId call) const
{
    const auto found = replies_.find(call);
    return found == replies_.end() ? std::nullopt : std::optional(found->second);
}

ledger::Fold FakeFleet::auditedLedger() const
{
    ledger::Fold fold;
    const auto found = streams_.find(ledgerName);
    std::uint64_t offset = 0;
    for (const auto& record : found == streams_.end() ? std::vector<std::string> {} : found->second) {
        std::string reason;
        std::vector<ledger::Effect> effects;
        const auto batch = ledger::decodeBatch(record, reason);
        [[maybe_unused]] const bool applied = fold.apply(Offset { offset++ }, *batch, effects);
        assert(applied && "the log has no holes");
    }
    return fold;
}

std::int64_t FakeFleet::billedByAnswers(const std::string& account) const
{
    std::map<std::string, std::int64_t> billed;
    for (const auto& [call, reply] : replies_) {
        const auto& [owner, id] = callers_.at(call);
        if (owner == account && reply.outcome == Outcome::Answered) {
            billed[id] = reply.billed.value();
        }
    }
    std::int64_t sum = 0;
    for (const auto& [id, tokens] : billed) {
        sum += tokens;
    }
    return sum;
}

int FakeFleet::runsOf(const std::string& account, const std::string& id) const
{
    const auto found = runs_.find(keyOf(account, id));
    return found == runs_.end() ? 0 : found->second;
}

std::vector<LogLine> FakeFleet::linesOf(std::size_t vm, const std::string& kind) const
{
    std::vector<LogLine> result;
    for (const auto& line : vms_[vm].lines) {
        if (line.kind == kind) {
            result.push_back(line);
        }
    }
    return result;
}

} // namespace swiftlift::node::testing
