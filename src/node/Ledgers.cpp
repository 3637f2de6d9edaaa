#include "node/Ledgers.h"

#include <algorithm>

#include "swiftlift/ledger/Shard.h"

namespace swiftlift::node {

const StreamName& Ledgers::checkpointStream()
{
    static const StreamName name { "checkpoints" };
    return name;
}

Ledgers::Ledgers(Context& context, Peers& peers, const LogHealth& health, LedgerListener& listener)
    : context_(context)
{
    for (std::uint32_t shard = 0; shard < context.settings().ledgerShards; ++shard) {
        shards_.push_back(std::make_unique<ShardLedger>(context, peers, health, listener, shard));
    }
}

void Ledgers::start()
{
    for (const auto& shard : shards_) {
        shard->start();
    }
    requestCheckpoints();
}

void Ledgers::requestCheckpoints()
{
    const bool wanted = std::ranges::any_of(shards_, [](const auto& shard) { return shard->needsCheckpoint(); });
    if (!wanted || context_.now() < nextRequest_) {
        return;
    }
    nextRequest_ = context_.now() + checkpointReadPause;
    context_.emit(Follow { checkpointStream(), {}, StreamKind::KeyedOnce, {} });
}

void Ledgers::onCheckpoints(const KeyedRecords& records)
{
    const auto valueOf = [&records](const std::string& key) -> const std::string* {
        const auto found = std::ranges::find(records.records, key, &KeyedRecord::key);
        return found != records.records.end() && found->value ? &*found->value : nullptr;
    };
    for (const auto& shard : shards_) {
        if (shard->needsCheckpoint()) {
            shard->onCheckpoints(valueOf);
        }
    }
}

void Ledgers::on(const LogRecords& event)
{
    if (ShardLedger* shard = findByStream(event.stream)) {
        shard->onRecords(event);
    }
}

void Ledgers::on(const LogExpired& event)
{
    if (ShardLedger* shard = findByStream(event.stream)) {
        shard->onExpired(event.oldest);
    }
}

void Ledgers::on(const LogUnreachable& event)
{
    if (ShardLedger* shard = findByStream(event.stream)) {
        shard->onAppendFailed();
    }
}

void Ledgers::on(const AppendAnswered& event)
{
    if (ShardLedger* shard = findByStream(event.stream)) {
        shard->onAppendAnswered();
    }
}

void Ledgers::on(const PeerReceived& event)
{
    if (const auto* ask = std::get_if<ReadAsk>(&event.message)) {
        if (ShardLedger* shard = findByStream(ask->stream)) {
            shard->onReadAsk(event.sender, ask->from);
        }
    } else if (const auto* records = std::get_if<Records>(&event.message)) {
        on(LogRecords { records->stream, records->first, records->records, std::nullopt });
    } else if (const auto* state = std::get_if<StreamState>(&event.message)) {
        if (ShardLedger* shard = findByStream(state->stream)) {
            shard->onPeerState(state->asOf, state->state);
        }
    } else if (ShardLedger* shard = findByNumber(event.shard)) {
        // Grant and loan numbers are unique within a shard only. Without the shard's number in the message, an
        // acknowledgement for one shard would raise the ceiling of another shard's grant.
        shard->onPeerMessage(event.sender, event.message);
    }
}

void Ledgers::onSuspected(Incarnation peer)
{
    for (const auto& shard : shards_) {
        shard->onSuspected(peer);
    }
}

void Ledgers::tick(bool leaving)
{
    for (const auto& shard : shards_) {
        shard->tick(leaving);
    }
    requestCheckpoints();
}

void Ledgers::paceLogCalls(const LogPace& pace, std::uint32_t routers)
{
    for (const auto& shard : shards_) {
        shard->paceLogCalls(pace, routers);
    }
}

ShardLedger* Ledgers::findByStream(const StreamName& stream) const
{
    const auto found = std::ranges::find_if(shards_, [&](const auto& shard) { return shard->stream() == stream; });
    return found == shards_.end() ? nullptr : found->get();
}

ShardLedger* Ledgers::findByNumber(std::uint32_t shard) const
{
    return shard < shards_.size() ? shards_[shard].get() : nullptr;
}

ShardLedger& Ledgers::of(const AccountId& account) const
{
    return *shards_[ledger::shardOf(account, context_.settings().ledgerShards)];
}

bool Ledgers::caughtUp() const
{
    return std::ranges::all_of(shards_, [](const auto& shard) { return shard->caughtUp(); });
}

bool Ledgers::drained() const
{
    return std::ranges::all_of(shards_, [](const auto& shard) { return shard->drained(); });
}

std::size_t Ledgers::unread() const
{
    std::size_t sum = 0;
    for (const auto& shard : shards_) {
        sum += shard->unread();
    }
    return sum;
}

std::vector<Incarnation> Ledgers::watched() const
{
    std::set<Incarnation> watched;
    for (const auto& shard : shards_) {
        const auto ofShard = shard->watched();
        watched.insert(ofShard.begin(), ofShard.end());
    }
    return { watched.begin(), watched.end() };
}

} // namespace swiftlift::node
