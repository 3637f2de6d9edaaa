#include "ctl/LedgerReader.h"

#include <utility>

#include "swiftlift/ledger/EntryCodec.h"

namespace swiftlift::ctl {

namespace {

    constexpr std::uint64_t firstSequence = 1;

} // namespace

LedgerReader::LedgerReader(Log& log, StreamName stream)
    : StreamReader(log, std::move(stream))
{
}

std::optional<LedgerVerdict> LedgerReader::verdict() const
{
    if (!verdict_ && author_ != Incarnation {} && fold_.lastSequence(author_) >= firstSequence) {
        return LedgerVerdict {};
    }
    return verdict_;
}

Offset LedgerReader::readFrom() const { return seekFrom_ ? seekNext_ : fold_.nextOffset(); }

bool LedgerReader::apply(Offset offset, const std::string& record)
{
    std::string reason;
    // Every reader treats a record that can't be decoded as an empty batch.
    const auto batch = ledger::decodeBatch(record, reason).value_or(ledger::Batch {});
    if (seekFrom_) {
        seek(offset, batch);
        return true;
    }
    std::vector<ledger::Effect> effects;
    if (!fold_.apply(offset, batch, effects)) {
        return fail(stream().value() + ": " + fold_.lastReason());
    }
    noteVerdict(offset, batch, effects);
    return true;
}

void LedgerReader::startFrom(Offset oldest)
{
    seekFrom_ = oldest;
    seekNext_ = oldest;
}

void LedgerReader::seek(Offset offset, const ledger::Batch& batch)
{
    seekNext_ = Offset(offset.value() + 1);
    for (const auto& item : batch.items) {
        const auto* const checkpoint = std::get_if<ledger::Checkpoint>(&item.entry);
        // After a checkpoint from before the oldest retained record, records are missing, and with them their bills.
        if (checkpoint != nullptr && checkpoint->asOf >= *seekFrom_ && checkpoint->asOf <= offset
            && fold_.restore(*checkpoint)) {
            seekFrom_.reset();
            return;
        }
    }
}

void LedgerReader::noteVerdict(Offset offset, const ledger::Batch& batch, const std::vector<ledger::Effect>& effects)
{
    const auto isWatched = [&](const auto& each) { return each.origin == author_ && each.sequence == firstSequence; };
    for (const auto& effect : effects) {
        if (const auto* const landed = std::get_if<ledger::Landed>(&effect); landed != nullptr && isWatched(*landed)) {
            verdict_ = LedgerVerdict { offset, std::nullopt, std::nullopt };
        }
        const auto* const refused = std::get_if<ledger::Refused>(&effect);
        if (refused != nullptr && isWatched(*refused) && verdict_) {
            verdict_->refusal = refused->reason;
        }
    }
    if (!verdict_ || verdict_->offset != offset) {
        return;
    }
    for (const auto& item : batch.items) {
        if (isWatched(item)) {
            verdict_->entry = item.entry;
            return;
        }
    }
}

} // namespace swiftlift::ctl
