#include <algorithm>
#include <utility>

#include "node/ShardLedger.h"
#include "swiftlift/ledger/EntryCodec.h"

namespace swiftlift::node {

void ShardLedger::onCheckpoints(const ledger::CheckpointLookup& valueOf)
{
    needsCheckpoint_ = false;
    std::string reason;
    const auto checkpoint = ledger::newestCheckpoint(stream_.value(), valueOf, reason);
    if (!reason.empty()) {
        context_.log(LogLineBuilder("ledger").with("change", "bad_checkpoint").with("reason", reason));
    }
    if (checkpoint && checkpoint->asOf > fold_.nextOffset()) {
        restoreFrom(*checkpoint, "kept apart");
        return;
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
            // Skipping records would make this fold differ from those of other readers: read again from the gap on.
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
    // A record that can't be decoded here can't be decoded by any reader: all of them treat it as an empty batch.
    if (!fold_.apply(offset, batch.value_or(ledger::Batch {}), effects)) {
        listener_.onRetired(fold_.lastReason());
        return;
    }
    cache_.add(offset, record);
    if (!batch) {
        context_.log(LogLineBuilder("ledger").with("change", "unreadable").with("reason", reason));
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
            recordRefusal(*refused, *batch);
        }
        onEffect(effect);
    }
}

void ShardLedger::recordRefusal(const ledger::Refused& refused, const ledger::Batch& batch)
{
    refused_.insert(refused.sequence);
    const auto item = std::ranges::find_if(batch.items, [&](const ledger::Item& candidate) {
        return candidate.origin == refused.origin && candidate.sequence == refused.sequence;
    });
    const bool found = item != batch.items.end();
    const auto grant = found ? ledger::grantOf(item->entry) : std::nullopt;
    context_.log(LogLineBuilder("ledger")
                     .with("change", "refused")
                     .with("entry", found ? ledger::kindOf(item->entry) : "")
                     .with("grant", grant ? toText(*grant) : "")
                     .with("sequence", static_cast<std::int64_t>(refused.sequence))
                     .with("reason", refused.reason));
}

Duration ShardLedger::checkpointIntervalOf(std::size_t bytes) const
{
    const Duration period = std::chrono::seconds(bytes / checkpointBytesPerSecond);
    return std::clamp(period, context_.settings().ledger.checkpointInterval, maxCheckpointInterval);
}

void ShardLedger::onExpired(Offset oldest)
{
    // The log has dropped records that this reader has not read, and answered 410. A fold that continued after the gap
    // would miss bills and grants and admit tokens that are already spent. So the fold restarts from a checkpoint, and
    // this incarnation, whose own items may be among the missed ones, is retired.
    if (fold_.nextOffset().value() > 0 && !gapReported_) {
        gapReported_ = true;
        listener_.onRetired("records expired before they were read");
    }
    context_.log(LogLineBuilder("ledger")
                     .with("change", "expired")
                     .with("stream", stream_.value())
                     .with("oldest", static_cast<std::int64_t>(oldest.value())));
    caughtUp_ = false;
    if (usesSeparateCheckpoints()) {
        needsCheckpoint_ = true;
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
        context_.log(LogLineBuilder("ledger").with("change", "bad_checkpoint").with("reason", fold_.lastReason()));
        return;
    }
    seekFrom_.reset();
    context_.log(LogLineBuilder("ledger")
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
    const bool isEmpty = fold_.nextOffset().value() == 0;
    if (!isEmpty || asOf.value() == 0) {
        return;
    }
    restoreFrom(ledger::Checkpoint { asOf, state }, "peer");
}

void ShardLedger::onEffect(const ledger::Effect& effect)
{
    if (const auto* landed = std::get_if<ledger::Landed>(&effect)) {
        outbox_.onLanded(*landed, context_.now());
        peerItems_.onLanded(*landed);
    }
    if (const auto* claim = std::get_if<ledger::ClaimDecided>(&effect)) {
        listener_.onClaimDecided(claim->key, claim->owner);
    }
    if (const auto* draw = std::get_if<ledger::DrawDecided>(&effect)) {
        if (draw->grant.holder == context_.self()) {
            const ledger::BudgetView budgetNow = fold_.budget(draw->budget).value_or(ledger::BudgetView {});
            context_.log(LogLineBuilder("grant")
                             .with("budget", toText(draw->budget))
                             .with("grant", toText(draw->grant))
                             .with("admitted", draw->admitted.value())
                             .with("short_by", draw->shortfall.value())
                             .with("bought", budgetNow.bought.value())
                             .with("billed", budgetNow.billed.value())
                             .with("held", budgetNow.held.value())
                             .with("witness", toHex(draw->witness.value())));
        }
    }
    // Holder and witness log a seal. If all readers did, the lines would grow with the square of the fleet.
    if (const auto* changed = std::get_if<ledger::GrantChanged>(&effect); changed
        && changed->state == ledger::GrantState::Sealed
        && (changed->grant.holder == context_.self() || changed->witness == context_.self())) {
        context_.log(LogLineBuilder("seal")
                         .with("grant", toText(changed->grant))
                         .with("state", ledger::toText(changed->state))
                         .with("witness", toHex(changed->witness.value())));
    }
    ledger::LedgerActions actions;
    holder_.onEffect(effect, context_.now(), actions);
    witness_.onEffect(effect, actions);
    execute(actions);
}

} // namespace swiftlift::node
