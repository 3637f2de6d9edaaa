#include "node/ShardLedger.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <set>
#include <utility>

#include "node/Ledgers.h"
#include "swiftlift/base/RendezvousHash.h"
#include "swiftlift/ledger/EntryCodec.h"
#include "swiftlift/ledger/HoldingPolicy.h"
#include "swiftlift/ledger/Shard.h"

namespace swiftlift::node {

namespace internal {

    [[nodiscard]] std::unique_ptr<ledger::HoldingPolicy> policyOf(const CoreSettings& settings)
    {
        ledger::PolicySettings policySettings;
        policySettings.splitBetween = settings.splitWays;
        policySettings.watermarks = settings.watermarks;
        policySettings.preallocationPercent = settings.preallocationPercent;
        policySettings.loans = settings.loans;
        policySettings.witnessesClose = settings.answersWaitForBills();
        auto policy = ledger::makePolicy(settings.holdingPolicy, policySettings);
        assert(policy != nullptr && "the settings' check lets only known policies through");
        return policy;
    }

    [[nodiscard]] ledger::FoldLimits foldLimits(const CoreSettings& settings)
    {
        ledger::FoldLimits limits;
        limits.keys = settings.ledger.keysRemembered;
        return limits;
    }

    [[nodiscard]] std::uint64_t checkpointSeed(const CoreSettings& settings, const StreamName& stream)
    {
        return settings.seed ^ std::hash<std::string> {}(stream.value());
    }

} // namespace internal

namespace internal {

    /** @return The fleet's routers by failure domain, the own domain first. */
    [[nodiscard]] ledger::RoutersByDomain fleetView(const membership::Membership& membership, const FailureDomain& own)
    {
        ledger::RoutersByDomain view(1);
        for (const auto& [domain, routers] : membership.routersByDomain()) {
            auto& part = domain == own ? view.front() : view.emplace_back();
            for (const membership::Membership::Router& router : routers) {
                part.push_back({ stableHash(router.address.value()), router.incarnation });
            }
        }
        return view;
    }

} // namespace internal

ShardLedger::ShardLedger(
    Context& context, Peers& peers, const LogHealth& health, LedgerListener& listener, std::uint32_t shard)
    : context_(context)
    , peers_(peers)
    , health_(health)
    , listener_(listener)
    , shard_(shard)
    , stream_(ledger::ledgerStream(shard))
    , fold_(internal::foldLimits(context.settings()))
    , outbox_(context.self())
    , holder_(context.self(), internal::policyOf(context.settings()), fold_)
    , witness_(context.self(), fold_)
    , peerItems_(fold_)
    , checkpoints_(context.settings().ledger.checkpointInterval, internal::checkpointSeed(context.settings(), stream_))
    , checkpointSchedule_(
          context.settings().ledger.checkpointInterval, internal::checkpointSeed(context.settings(), stream_))
    , checkpointSet_(static_cast<unsigned>(context.self().value() % ledger::checkpointSets))
    , random_(context.settings().seed)
    , readPause_(context.settings().ledger.readPause)
{
}

void ShardLedger::start()
{
    startedAt_ = context_.now();
    // Reading from offset 0 would only fail with LogExpired where old records have expired, so the checkpoint is read
    // first.
    needsCheckpoint_ = usesSeparateCheckpoints();
    if (!needsCheckpoint_) {
        follow(fold_.nextOffset());
    }
}

void ShardLedger::follow(Offset from) { context_.emit(Follow { stream_, from, StreamKind::Plain, readPause_ }); }

std::uint32_t ShardLedger::routers() const
{
    return static_cast<std::uint32_t>(peers_.membership().counts().alive) + 1;
}

std::uint32_t ShardLedger::fleetSize() const
{
    // Routers that start together have received few heartbeats yet, but the list of VMs is available.
    const auto listed = static_cast<std::uint32_t>(peers_.membership().counts().listed) + 1;
    return std::max(routers(), listed);
}

bool ShardLedger::usesSeparateCheckpoints() const noexcept
{
    return context_.settings().ledger.checkpoints == CheckpointPlace::SeparateStream;
}

void ShardLedger::onAppendAnswered()
{
    outbox_.onAnswered(context_.now());
    if (std::exchange(readBackDue_, false)) {
        context_.emit(ExpediteRead { stream_ });
    }
}

void ShardLedger::onAppendFailed() { outbox_.onFailure(context_.now()); }

void ShardLedger::tick(bool stopping)
{
    const Instant now = context_.now();
    stopping_ = stopping;
    const bool reachable = health_.reachable(now);
    if (const bool before = std::exchange(logWasReachable_, reachable); reachable && !before) {
        outbox_.onReachable(now);
    }
    ledger::HolderEnvironment environment;
    environment.logReachable = logInReach();
    environment.stopping = stopping;
    environment.caughtUp = caughtUp_;
    environment.routers = fleetSize();
    environment.witness = peers_.membership().witness();
    environment.lenders = peers_.membership().lenders();
    if (now >= nextFleetView_) {
        nextFleetView_ = now + fleetViewPeriod;
        domains_ = internal::fleetView(peers_.membership(), context_.settings().domain);
    }
    environment.domains = domains_;
    environment.fleetKnown = knowsFleet();
    ledger::LedgerActions actions;
    holder_.onTick(now, environment, actions);
    execute(actions);
    appendCheckpointWhenDue();
    fundWhenDue();
    flush();
    if (now >= nextAuthorCheck_) {
        nextAuthorCheck_ = now + authorCheckPeriod;
        appendForSilentAuthors();
        closeSealedGrants();
    }
    requestRecordsFromPeer();
}

bool ShardLedger::drained() const
{
    const bool leavesNoCopy = !stopping_ || peerItems_.size() == 0;
    return outbox_.empty() && holder_.drained() && leavesNoCopy;
}

void ShardLedger::flush()
{
    sendBatch();
    sendCopies();
}

bool ShardLedger::logInReach() const
{
    return health_.reachable(context_.now()) || peers_.membership().logReachablePeer().has_value();
}

void ShardLedger::appendCheckpointWhenDue()
{
    const bool readyToAppend = caughtUp_ && health_.reachable(context_.now()) && fold_.nextOffset().value() > 0;
    if (!readyToAppend) {
        return;
    }
    if (usesSeparateCheckpoints() && checkpointSchedule_.due(context_.now(), routers())) {
        appendSeparateCheckpoint();
    } else if (!usesSeparateCheckpoints() && checkpoints_.due(context_.now())) {
        append(fold_.checkpoint());
    }
}

void ShardLedger::appendSeparateCheckpoint()
{
    auto records = ledger::toRecords(fold_.checkpoint(), stream_.value(), context_.self(), checkpointSet_++);
    std::size_t next = 0;
    while (next < records.size()) {
        Append append { Ledgers::checkpointStream(), std::move(records[next].value), std::move(records[next].key) };
        std::size_t bytes = append.record.size();
        for (++next; next < records.size() && bytes + records[next].value.size() <= maxCheckpointCallBytes; ++next) {
            bytes += records[next].value.size();
            append.further.emplace_back(std::move(records[next].key), std::move(records[next].value));
        }
        context_.emit(std::move(append));
    }
}

bool ShardLedger::knowsFleet() const
{
    const Instant now = context_.now();
    const auto grewAt = peers_.membership().listGrewAt();
    const Duration settleTime = std::clamp<Duration>(settleTimePerRouter * fleetSize(), minSettleTime, maxSettleTime);
    const bool listSettled = peers_.membership().selfListed() && grewAt && now - *grewAt >= settleTime;
    return listSettled || now - startedAt_ >= maxListWait;
}

void ShardLedger::fund(const BudgetRef& budget, Tokens total)
{
    // All totals of a configuration have one turn, so that they are appended as one batch.
    if (std::exchange(fundedAt_, context_.now()) != context_.now()) {
        fundTurn_ = AppendTurn(std::uniform_real_distribution<double>(0, 1)(random_));
    }
    funding_.insert_or_assign(budget, Funding { total, context_.now(), fundTurn_ });
    holder_.preallocate(budget);
}

bool ShardLedger::isFundDue(const Funding& funding) const
{
    const Instant now = context_.now();
    if (!peers_.membership().selfListed() && now - startedAt_ < maxListWait) {
        return false;
    }
    return now >= funding.due + funding.turn.wait(fleetSize());
}

void ShardLedger::fundWhenDue()
{
    if (!caughtUp_ || !health_.reachable(context_.now())) {
        return;
    }
    for (auto& [budget, funding] : funding_) {
        const auto view = fold_.budget(budget);
        const bool funded = view && view->bought >= funding.total;
        if (funded || !isFundDue(funding)) {
            continue;
        }
        funding.due = context_.now() + fundRetryPeriod;
        context_.log(LogLineBuilder("fund").with("budget", toText(budget)).with("total", funding.total.value()));
        append(ledger::Fund { budget, funding.total });
    }
}

void ShardLedger::paceLogCalls(const LogPace& pace, std::uint32_t routers)
{
    const Duration pause = pace.ledgerPause(context_.settings().ledger.readPause, routers);
    if (std::exchange(readPause_, pause) != pause) {
        context_.emit(PaceReads { stream_, pause });
    }
    minBatchPeriod_ = pace.appendPeriod({}, routers);
}

Duration ShardLedger::batchPeriod() const
{
    if (const auto configured = context_.settings().ledger.batchPeriod) {
        return std::max(*configured, minBatchPeriod_);
    }
    const auto streams = static_cast<std::int64_t>(context_.settings().ledgerShards);
    const Duration period
        = Duration(std::chrono::seconds(1)) * (std::int64_t { routers() } * streams) / maxRoutineAppendsPerSecond;
    return std::min(period, maxBatchPeriod);
}

void ShardLedger::sendBatch()
{
    // Bills are batched: a copy at the witness secures them meanwhile, and one append per bill would overload the log
    // in a large fleet. Items that a caller or another router waits for are appended at once, together with all bills.
    const Instant now = context_.now();
    if (!outbox_.wakeAt() && !urgent_ && now < nextBatch_) {
        return;
    }
    const auto batch = outbox_.next(now);
    if (!batch) {
        return;
    }
    readBackDue_ = readBackDue_ || urgent_;
    urgent_ = false;
    nextBatch_ = now + batchPeriod();
    appendRecord(ledger::encode(*batch));
}

void ShardLedger::appendRecord(std::string record)
{
    if (!health_.reachable(context_.now())) {
        if (const auto relay = peers_.membership().logReachablePeer()) {
            peers_.send(*relay, RelayAppend { stream_, record });
        }
    }
    context_.emit(Append { stream_, std::move(record) });
}

void ShardLedger::setWeighting(const BudgetRef& budget, ledger::Weighting weighting)
{
    holder_.setWeighting(budget, weighting);
}

std::variant<ledger::Reservation, ledger::Shortage> ShardLedger::reserve(
    const BudgetRef& budget, const RequestKey& key, Tokens amount)
{
    ledger::LedgerActions actions;
    auto result = holder_.reserve(budget, key, amount, context_.now(), actions);
    execute(actions);
    sendBatch();
    return result;
}

std::uint64_t ShardLedger::settle(const ledger::Reservation& reservation, Tokens actual)
{
    ledger::LedgerActions actions;
    holder_.settle(reservation, actual, actions);
    execute(actions);
    return outbox_.lastSequence();
}

void ShardLedger::release(const ledger::Reservation& reservation)
{
    ledger::LedgerActions actions;
    holder_.release(reservation, actions);
    execute(actions);
}

void ShardLedger::append(ledger::Entry entry)
{
    const bool isBill = std::holds_alternative<ledger::Bill>(entry);
    const bool hasWitness = peers_.membership().witness().has_value();
    urgent_ = urgent_ || !isBill || !hasWitness || lacksRemoteReplica();
    outbox_.add(std::move(entry));
}

} // namespace swiftlift::node
