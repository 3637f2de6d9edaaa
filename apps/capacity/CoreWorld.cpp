#include "capacity/CoreWorld.h"

#include <cassert>
#include <chrono>
#include <utility>
#include <variant>

#include "capacity/ServiceSample.h"
#include "swiftlift/config/Record.h"
#include "swiftlift/ledger/EntryCodec.h"
#include "swiftlift/ledger/Shard.h"
#include "swiftlift/wire/PeerCodec.h"

namespace swiftlift::capacity {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration stepLength = 10ms;
    constexpr std::uint64_t stepsPerTick = 5;
    constexpr std::uint64_t stepsPerSecond = 100;
    constexpr Duration answerTakes = 200ms;
    constexpr std::size_t budgetsPerAccount = 10;
    constexpr std::size_t keyHashLength = 64;
    constexpr std::int64_t promptTokens = 400;
    constexpr std::int64_t answerTokens = 440;
    constexpr std::size_t bytesPerToken = 4;
    constexpr std::uint32_t slots = 8;
    constexpr std::uint64_t prefixes = 100;
    constexpr Tokens topUp { 1'000'000'000'000 };
    constexpr Incarnation foreignRouter { 77 };
    const FailureDomain domain { "regina-a" };
    const Region region { "sask-south" };

} // namespace

CoreWorld::CoreWorld(CoreWorldSettings settings)
    : settings_(settings)
    , now_(1h)
{
    openLedger();
    for (std::size_t service = 0; service < settings_.services; ++service) {
        publish(service);
    }
    startCores();
}

void CoreWorld::openLedger()
{
    for (std::uint32_t shard = 0; shard < settings_.ledgerShards; ++shard) {
        streams_[ledger::ledgerStream(shard)];
    }
    for (std::size_t account = 0; account < settings_.accounts; ++account) {
        const BudgetRef budget = budgetName(account * budgetsPerAccount);
        appendEntries(operatorOrigin, { openAccount(account), ledger::TopUp { budget, topUp } });
    }
}

void CoreWorld::appendEntries(Incarnation origin, std::vector<ledger::Entry> entries)
{
    const auto* account = std::get_if<ledger::OpenAccount>(&entries.front());
    const std::uint32_t shard = account ? ledger::shardOf(account->account, settings_.ledgerShards) : 0;
    const StreamName stream = ledger::ledgerStream(shard);
    ledger::Batch batch;
    for (auto& entry : entries) {
        batch.items.push_back({ origin, ++sequences_[stream][origin], std::move(entry) });
    }
    streams_[stream].push_back(ledger::encode(batch));
}

void CoreWorld::publish(std::size_t service)
{
    auto& stream = streams_[StreamName { "config" }];
    config::PublishRequest request;
    request.service = ServiceName { serviceName(service) };
    request.document = serviceDocument(service, settings_.engines, settings_.accounts, stream.size());
    if (const auto last = revisions_.find(service); last != revisions_.end()) {
        request.replaces = Offset { last->second };
    }
    request.author = "operator";
    request.id = stream.size() + 1;
    revisions_[service] = stream.size();
    stream.push_back(config::encode(request));
}

void CoreWorld::startCores()
{
    vms_.resize(cores);
    std::vector<node::ListedVm> listed;
    for (std::size_t vm = 0; vm < cores; ++vm) {
        vms_[vm].incarnation = Incarnation { firstRouter.value() + vm };
        vms_[vm].address = PeerAddress { "10.1.0." + std::to_string(vm + 1) + ":7400" };
        listed.push_back({ vms_[vm].address, domain, region, false });
    }
    for (std::size_t vm = 0; vm < cores; ++vm) {
        node::CoreSettings settings;
        settings.incarnation = vms_[vm].incarnation;
        settings.peerAddress = vms_[vm].address;
        settings.domain = domain;
        settings.region = region;
        settings.ledgerShards = settings_.ledgerShards;
        vms_[vm].core = std::make_unique<node::Core>(settings);
        node::Actions actions;
        vms_[vm].core->start(now_, actions);
        execute(vm, actions);
        deliver(vm, node::VmListRead { listed });
    }
}

void CoreWorld::run(Duration duration)
{
    const Instant end = now_ + duration;
    while (now_ < end) {
        step();
    }
}

void CoreWorld::resetCounts()
{
    counts_ = {};
    watch_ = {};
}

void CoreWorld::step()
{
    now_ += stepLength;
    ++steps_;
    addForeignRecords();
    for (std::size_t vm = 0; vm < cores; ++vm) {
        deliverInbox(vm);
        deliverRecords(vm);
    }
    if (steps_ % stepsPerSecond == 1) {
        reportEngines();
    }
    sendRequests();
    moveAttempts();
    if (steps_ % stepsPerTick == 0) {
        for (std::size_t vm = 0; vm < cores; ++vm) {
            deliver(vm, node::Tick {});
        }
    }
}

void CoreWorld::deliver(std::size_t vm, const node::Event& event)
{
    node::Actions actions;
    if (vm == measured) {
        watch_.start();
    }
    vms_[vm].core->handle(event, now_, actions);
    if (vm == measured) {
        watch_.stop();
    }
    execute(vm, actions);
}

void CoreWorld::deliverInbox(std::size_t vm)
{
    for (const auto& event : std::exchange(vms_[vm].inbox, {})) {
        deliver(vm, event);
    }
}

void CoreWorld::deliverRecords(std::size_t vm)
{
    const auto followed = vms_[vm].followed;
    for (const auto& [stream, from] : followed) {
        const auto& records = streams_[stream];
        // An empty answer once a second stands for the long poll that found nothing.
        if (from >= records.size() && steps_ % stepsPerSecond != 0) {
            continue;
        }
        node::LogRecords read { stream, Offset { from }, {}, Offset { records.size() } };
        read.records.assign(records.begin() + static_cast<std::ptrdiff_t>(from), records.end());
        if (vm == measured) {
            for (const auto& record : read.records) {
                counts_.readRecords += 1;
                counts_.readBytes += static_cast<double>(record.size());
            }
        }
        vms_[vm].followed[stream] = records.size();
        deliver(vm, read);
    }
}

void CoreWorld::reportEngines()
{
    for (std::size_t report = 0; report < settings_.engineReportsPerSecond; ++report) {
        for (std::size_t engine = 0; engine < settings_.engines; ++engine) {
            const BackendId backend { engineAddress(0, engine) };
            const std::uint32_t running = static_cast<std::uint32_t>(engine) % slots;
            deliver(measured, node::BackendLoad { backend, true, running, 0, 3.0, { "model-0" }, false, 1 });
        }
    }
}

void CoreWorld::addForeignRecords()
{
    constexpr std::size_t itemsPerRecord = 8;
    owedForeign_ += static_cast<double>(settings_.foreignRecordsPerSecond) / stepsPerSecond;
    for (; owedForeign_ >= 1; owedForeign_ -= 1) {
        std::vector<ledger::Entry> entries;
        const GrantId grant { foreignRouter, 1 };
        if (foreignBills_ == 0) {
            entries.emplace_back(
                ledger::Draw { grant, budgetName(0), Tokens { 1'000'000 }, Tokens { 1 }, Incarnation {} });
        }
        for (std::size_t item = 0; item < itemsPerRecord; ++item) {
            constexpr std::size_t apart = 1'000'000'000;
            entries.emplace_back(ledger::Bill { requestKey(apart + ++foreignBills_), grant, Tokens { 1 } });
        }
        appendEntries(foreignRouter, std::move(entries));
    }
}

node::CallerRequest CoreWorld::nextRequest()
{
    node::CallerRequest request;
    ++requests_;
    request.account = accountName(requests_ % settings_.accounts);
    request.keyHash = std::string(keyHashLength, 'a');
    request.service = ServiceName { serviceName(0) };
    request.id = CallerRequestId { "request-" + std::to_string(requests_) };
    request.key = requestKey(requests_);
    request.stream = true;
    request.body = std::string(promptTokens * bytesPerToken, 'p');
    request.promptTokens = Tokens { promptTokens };
    request.maxAnswerTokens = Tokens { answerTokens };
    request.prefixHash = requests_ % prefixes + 1;
    return request;
}

void CoreWorld::sendRequests()
{
    owedRequests_ += settings_.requestsPerSecond / stepsPerSecond;
    for (; owedRequests_ >= 1; owedRequests_ -= 1) {
        node::CallerRequest request = nextRequest();
        deliver(measured, node::RequestArrived { CallId { requests_ }, std::move(request) });
    }
}

void CoreWorld::moveAttempts()
{
    for (std::size_t index = attempts_.size(); index > 0; --index) {
        Attempt attempt = attempts_.front();
        attempts_.pop_front();
        const Duration age = now_ - attempt.started;
        const auto due = static_cast<std::size_t>(static_cast<double>(settings_.progressReports)
            * static_cast<double>(age.count()) / static_cast<double>(answerTakes.count()));
        for (; attempt.reports < due && attempt.reports < settings_.progressReports; ++attempt.reports) {
            const auto tokens = static_cast<std::int64_t>(attempt.reports + 1);
            deliver(measured, node::AttemptProgress { attempt.id, Tokens { tokens } });
        }
        if (age < answerTakes) {
            attempts_.push_back(attempt);
            continue;
        }
        deliver(measured,
            node::AttemptEnded { attempt.id, node::AttemptEnd::Completed, Tokens { promptTokens },
                Tokens { answerTokens }, Tokens {}, "" });
    }
}

void CoreWorld::on(std::size_t vm, node::Append& append)
{
    if (vm == measured) {
        counts_.appends += 1;
        counts_.appendedBytes += static_cast<double>(append.record.size());
    }
    streams_[append.stream].push_back(std::move(append.record));
    vms_[vm].inbox.emplace_back(node::AppendAnswered { append.stream });
}

void CoreWorld::on(std::size_t vm, node::SendPeer& send)
{
    if (vm == measured) {
        const wire::PeerEnvelope envelope { vms_[vm].incarnation, vms_[vm].address, send.receiver, send.message };
        counts_.messages += 1;
        counts_.messageBytes += static_cast<double>(wire::encodePeerEnvelope(envelope).size());
    }
    for (auto& other : vms_) {
        if (other.address == send.to) {
            other.inbox.emplace_back(
                node::PeerReceived { vms_[vm].incarnation, vms_[vm].address, std::move(send.message) });
            return;
        }
    }
}

void CoreWorld::execute(std::size_t vm, node::Actions& actions)
{
    for (auto& action : actions) {
        if (auto* append = std::get_if<node::Append>(&action)) {
            on(vm, *append);
        } else if (auto* send = std::get_if<node::SendPeer>(&action)) {
            on(vm, *send);
        } else if (const auto* follow = std::get_if<node::Follow>(&action)) {
            vms_[vm].followed[follow->stream] = follow->from.value();
        } else if (const auto* dispatch = std::get_if<node::Dispatch>(&action)) {
            attempts_.push_back({ dispatch->attempt, now_ });
        } else if (const auto* reply = std::get_if<node::Reply>(&action)) {
            (reply->outcome == node::Outcome::Answered ? counts_.answered : counts_.otherEnds) += 1;
        } else if (std::holds_alternative<node::LogLine>(action) && vm == measured) {
            counts_.logLines += 1;
        }
    }
}

} // namespace swiftlift::capacity
