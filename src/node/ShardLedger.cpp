#include "node/ShardLedger.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <set>
#include <utility>

#include "node/Ledgers.h"
#include "swiftlift/ledger/EntryCodec.h"
#include "swiftlift/ledger/HoldingPolicy.h"
#include "swiftlift/ledger/Shard.h"

namespace swiftlift::node {

namespace internal {

    [[nodiscard]] std::unique_ptr<ledger::HoldingPolicy> policyOf(const CoreSettings& settings)
    {
        ledger::PolicySettings figures;
        figures.splitBetween = settings.splitWays;
        figures.watermarks = settings.watermarks;
        figures.stockPercent = settings.stockPercent;
        figures.witnessesClose = settings.answersWaitForBills();
        auto policy = ledger::makePolicy(settings.moneyPolicy, figures);
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

    [[nodiscard]] const char* toText(ledger::GrantState state)
    {
        switch (state) {
        case ledger::GrantState::Open:
            return "open";
        case ledger::GrantState::Sealed:
            return "sealed";
        case ledger::GrantState::Closed:
            return "closed";
        }
        return "";
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
    , copies_(fold_)
    , checkpoints_(context.settings().ledger.checkpointInterval, internal::checkpointSeed(context.settings(), stream_))
    , checkpointTurns_(
          context.settings().ledger.checkpointInterval, internal::checkpointSeed(context.settings(), stream_))
    , random_(context.settings().seed)
{
}

void ShardLedger::start()
{
    // A reader that begins at the oldest record kept, where older ones have expired, would be told so anyway.
    wantsCheckpoint_ = checkpointsApart();
    if (!wantsCheckpoint_) {
        follow(fold_.nextOffset());
    }
}

void ShardLedger::follow(Offset from)
{
    context_.emit(Follow { stream_, from, StreamKind::Plain, context_.settings().ledger.readPause });
}

std::uint32_t ShardLedger::routers() const
{
    return static_cast<std::uint32_t>(peers_.membership().counts().alive) + 1;
}

bool ShardLedger::checkpointsApart() const noexcept
{
    return context_.settings().ledger.checkpoints == CheckpointPlace::Apart;
}

void ShardLedger::onCheckpoint(const std::string* record)
{
    wantsCheckpoint_ = false;
    std::string reason;
    const auto batch = record == nullptr ? std::nullopt : ledger::decodeBatch(*record, reason);
    if (record != nullptr && !batch) {
        context_.log(Line("ledger").with("change", "bad_checkpoint").with("reason", reason));
    }
    for (const auto& item : batch.value_or(ledger::Batch {}).items) {
        const auto* checkpoint = std::get_if<ledger::Checkpoint>(&item.entry);
        if (checkpoint != nullptr && checkpoint->asOf > fold_.nextOffset()) {
            restoreFrom(*checkpoint, "kept apart");
            return;
        }
    }
    follow(fold_.nextOffset());
}

void ShardLedger::onRecords(const LogRecords& records)
{
    std::uint64_t offset = records.first.value();
    for (const auto& record : records.records) {
        if (seekFrom_) {
            seekCheckpoint(Offset { offset }, record);
            if (!seekFrom_) {
                return;
            }
        } else if (offset > fold_.nextOffset().value()) {
            // A reader that skipped records would fold another state than the others: read again from the gap on.
            follow(fold_.nextOffset());
            return;
        } else if (offset == fold_.nextOffset().value()) {
            applyRecord(Offset { offset }, record);
        }
        ++offset;
    }
    const bool endOfLog = records.end && fold_.nextOffset() >= *records.end;
    const bool endOfPeer = !records.end && records.records.empty() && records.first >= fold_.nextOffset();
    if (!seekFrom_ && (endOfLog || endOfPeer)) {
        caughtUp_ = true;
    }
}

void ShardLedger::applyRecord(Offset offset, const std::string& record)
{
    std::string reason;
    const auto batch = ledger::decodeBatch(record, reason);
    std::vector<ledger::Effect> effects;
    // An unreadable record is one that nobody can read: all readers skip it alike, as an empty batch.
    if (!fold_.apply(offset, batch.value_or(ledger::Batch {}), effects)) {
        listener_.onRetired(fold_.lastReason());
        return;
    }
    cache_.add(offset, record);
    if (!batch) {
        context_.log(Line("ledger").with("change", "unreadable").with("reason", reason));
        return;
    }
    for (const auto& item : batch->items) {
        if (const auto* checkpoint = std::get_if<ledger::Checkpoint>(&item.entry)) {
            checkpoints_.setInterval(checkpointIntervalOf(checkpoint->state.size()));
            checkpoints_.onSnapshot(context_.now());
        }
    }
    for (const auto& effect : effects) {
        if (const auto* refused = std::get_if<ledger::Refused>(&effect);
            refused && refused->origin == context_.self()) {
            noteRefused(*refused, *batch);
        }
        onEffect(effect);
    }
}

void ShardLedger::noteRefused(const ledger::Refused& refused, const ledger::Batch& batch)
{
    refused_.insert(refused.sequence);
    const auto item = std::ranges::find_if(batch.items, [&](const ledger::Item& candidate) {
        return candidate.origin == refused.origin && candidate.sequence == refused.sequence;
    });
    const bool found = item != batch.items.end();
    const auto grant = found ? ledger::grantOf(item->entry) : std::nullopt;
    context_.log(Line("ledger")
                     .with("change", "refused")
                     .with("entry", found ? ledger::kindOf(item->entry) : "")
                     .with("grant", grant ? toText(*grant) : "")
                     .with("sequence", static_cast<std::int64_t>(refused.sequence))
                     .with("reason", refused.reason));
}

Duration ShardLedger::checkpointIntervalOf(std::size_t bytes) const
{
    const Duration fair = std::chrono::seconds(bytes / checkpointBytesPerSecond);
    return std::clamp(fair, context_.settings().ledger.checkpointInterval, longestCheckpointInterval);
}

void ShardLedger::onExpired(Offset oldest)
{
    // What goes wrong: the log has dropped records this reader has not seen. One notices it by the log's 410. A fold
    // that went on after the hole would miss bills and grants, and admit money that is spent: so it starts again from a
    // checkpoint, and this incarnation, whose own items it may have missed, takes on nothing new.
    if (fold_.nextOffset().value() > 0 && !holeReported_) {
        holeReported_ = true;
        listener_.onRetired("records expired before they were read");
    }
    context_.log(Line("ledger")
                     .with("change", "expired")
                     .with("stream", stream_.value())
                     .with("oldest", static_cast<std::int64_t>(oldest.value())));
    caughtUp_ = false;
    if (checkpointsApart()) {
        wantsCheckpoint_ = true;
        return;
    }
    seekFrom_ = oldest;
    follow(oldest);
}

void ShardLedger::seekCheckpoint(Offset offset, const std::string& record)
{
    std::string reason;
    const auto batch = ledger::decodeBatch(record, reason);
    if (!batch) {
        return;
    }
    for (const auto& item : batch->items) {
        const auto* checkpoint = std::get_if<ledger::Checkpoint>(&item.entry);
        if (checkpoint != nullptr && checkpoint->asOf >= *seekFrom_ && checkpoint->asOf <= offset) {
            restoreFrom(*checkpoint, "log");
            return;
        }
    }
}

void ShardLedger::restoreFrom(const ledger::Checkpoint& checkpoint, const char* source)
{
    if (!fold_.restore(checkpoint)) {
        context_.log(Line("ledger").with("change", "bad_checkpoint").with("reason", fold_.lastReason()));
        return;
    }
    seekFrom_.reset();
    context_.log(Line("ledger")
                     .with("change", "restored")
                     .with("stream", stream_.value())
                     .with("source", source)
                     .with("as_of", static_cast<std::int64_t>(checkpoint.asOf.value())));
    const std::uint64_t landed = fold_.lastSequence(context_.self());
    for (std::uint64_t sequence = 1; sequence <= landed; ++sequence) {
        outbox_.onLanded(ledger::Landed { context_.self(), sequence }, context_.now());
    }
    follow(fold_.nextOffset());
}

void ShardLedger::onPeerState(Offset asOf, const std::string& state)
{
    const bool fresh = fold_.nextOffset().value() == 0;
    if (!fresh || asOf.value() == 0) {
        return;
    }
    restoreFrom(ledger::Checkpoint { asOf, state }, "peer");
}

void ShardLedger::onEffect(const ledger::Effect& effect)
{
    if (const auto* landed = std::get_if<ledger::Landed>(&effect)) {
        outbox_.onLanded(*landed, context_.now());
        copies_.onLanded(*landed);
    }
    if (const auto* claim = std::get_if<ledger::ClaimDecided>(&effect)) {
        listener_.onClaimDecided(claim->key, claim->owner);
    }
    if (const auto* draw = std::get_if<ledger::DrawDecided>(&effect)) {
        if (draw->grant.holder == context_.self()) {
            const ledger::BudgetView budgetNow = fold_.budget(draw->budget).value_or(ledger::BudgetView {});
            context_.log(Line("grant")
                             .with("budget", toText(draw->budget))
                             .with("grant", toText(draw->grant))
                             .with("admitted", draw->admitted.value())
                             .with("short_by", draw->shortBy.value())
                             .with("bought", budgetNow.bought.value())
                             .with("billed", budgetNow.billed.value())
                             .with("held", budgetNow.held.value())
                             .with("witness", toHex(draw->witness.value())));
        }
    }
    if (const auto* changed = std::get_if<ledger::GrantChanged>(&effect);
        changed && changed->state == ledger::GrantState::Sealed) {
        context_.log(Line("seal")
                         .with("grant", toText(changed->grant))
                         .with("state", internal::toText(changed->state))
                         .with("witness", toHex(changed->witness.value())));
    }
    ledger::MoneyActions actions;
    holder_.onEffect(effect, context_.now(), actions);
    witness_.onEffect(effect, actions);
    carryOut(actions);
}

void ShardLedger::onAppendAnswered() { outbox_.onAnswered(context_.now()); }
void ShardLedger::onAppendFailed() { outbox_.onFailure(context_.now()); }

void ShardLedger::tick(bool stopping)
{
    const Instant now = context_.now();
    const bool reachable = health_.reachable(now);
    if (const bool before = std::exchange(logWasReachable_, reachable); reachable && !before) {
        outbox_.onReachable(now);
    }
    ledger::Surroundings surroundings;
    surroundings.logReachable = logInReach();
    surroundings.stopping = stopping;
    surroundings.caughtUp = caughtUp_;
    // Routers that start together have heard few of the others yet, but the list of VMs is there.
    const auto listed = static_cast<std::uint32_t>(peers_.membership().counts().listed) + 1;
    surroundings.routers = std::max(routers(), listed);
    surroundings.witness = peers_.membership().witness();
    surroundings.lenders = peers_.membership().lenders();
    ledger::MoneyActions actions;
    holder_.onTick(now, surroundings, actions);
    carryOut(actions);
    appendCheckpointWhenDue();
    fundWhenDue();
    flush();
    if (now >= nextRelay_) {
        nextRelay_ = now + relayPeriod;
        appendForTheDead();
        closeForTheDead();
    }
    askPeer();
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
    const bool worthIt = caughtUp_ && health_.reachable(context_.now()) && fold_.nextOffset().value() > 0;
    if (!worthIt) {
        return;
    }
    if (checkpointsApart() && checkpointTurns_.due(context_.now(), routers())) {
        keepCheckpointApart();
    } else if (!checkpointsApart() && checkpoints_.due(context_.now())) {
        append(fold_.checkpoint());
    }
}

void ShardLedger::keepCheckpointApart()
{
    ledger::Batch batch;
    batch.items.push_back({ context_.self(), 1, fold_.checkpoint() });
    context_.emit(Append { Ledgers::checkpointStream(), ledger::encode(batch), stream_.value() });
}

void ShardLedger::fund(const BudgetRef& budget, Tokens total)
{
    const auto stagger = static_cast<std::uint64_t>(fundStagger.count() + 1);
    funding_[budget] = { total, context_.now() + Duration { static_cast<Duration::rep>(random_() % stagger) } };
    holder_.stock(budget);
}

void ShardLedger::fundWhenDue()
{
    if (!caughtUp_ || !health_.reachable(context_.now())) {
        return;
    }
    for (auto& [budget, funding] : funding_) {
        const auto view = fold_.budget(budget);
        const bool funded = view && view->bought >= funding.total;
        if (funded || context_.now() < funding.due) {
            continue;
        }
        funding.due = context_.now() + fundRepeat;
        context_.log(Line("fund").with("budget", toText(budget)).with("total", funding.total.value()));
        append(ledger::Fund { budget, funding.total });
    }
}

Duration ShardLedger::batchPeriod() const
{
    if (const auto set = context_.settings().ledger.batchPeriod) {
        return *set;
    }
    const auto streams = static_cast<std::int64_t>(context_.settings().ledgerShards);
    const Duration fair = Duration(std::chrono::seconds(1)) * (std::int64_t { routers() } * streams) / unhurriedAppends;
    return std::min(fair, longestBatchPeriod);
}

void ShardLedger::sendBatch()
{
    // Bills wait for company: a copy at the witness secures them meanwhile, and an append for each would be more than
    // the log takes from a large fleet. What somebody waits for goes at once, and takes them along.
    const Instant now = context_.now();
    if (!outbox_.wakeAt() && !urgent_ && now < nextBatch_) {
        return;
    }
    const auto batch = outbox_.next(now);
    if (!batch) {
        return;
    }
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
    ledger::MoneyActions actions;
    auto result = holder_.reserve(budget, key, amount, context_.now(), actions);
    carryOut(actions);
    sendBatch();
    return result;
}

std::uint64_t ShardLedger::settle(const ledger::Reservation& reservation, Tokens actual)
{
    ledger::MoneyActions actions;
    holder_.settle(reservation, actual, actions);
    carryOut(actions);
    return outbox_.lastSequence();
}

void ShardLedger::release(const ledger::Reservation& reservation)
{
    ledger::MoneyActions actions;
    holder_.release(reservation, actions);
    carryOut(actions);
}

void ShardLedger::append(ledger::Entry entry)
{
    const bool bill = std::holds_alternative<ledger::Bill>(entry);
    const bool witnessed = peers_.membership().witness().has_value();
    urgent_ = urgent_ || !bill || !witnessed;
    outbox_.add(std::move(entry));
}

} // namespace swiftlift::node
