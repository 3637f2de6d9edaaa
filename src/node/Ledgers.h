#pragma once

#include <cstddef>
#include <memory>
#include <set>
#include <vector>

#include "node/Context.h"
#include "node/LogHealth.h"
#include "node/Peers.h"
#include "node/ShardLedger.h"

namespace swiftlift::node {

/** All ledger streams of this router. Passes each event to the shard that it belongs to. */
class Ledgers {
public:
    Ledgers(Context& context, Peers& peers, const LogHealth& health, LedgerListener& listener);

    void start();
    /** @param records The records of checkpointStream(). */
    void onCheckpoints(const KeyedRecords& records);
    // Events of streams that belong to no shard are ignored.
    void on(const LogRecords& event);
    void on(const LogExpired& event);
    void on(const LogUnreachable& event);
    void on(const AppendAnswered& event);
    void on(const PeerReceived& event);
    void onSuspected(Incarnation peer);
    /** @param leaving This router stops and has no request in progress. */
    void tick(bool leaving);
    /** Adapts the reads and routine appends to the number of routers. */
    void paceLogCalls(const LogPace& pace, std::uint32_t routers);

    /** @return The shard that has the account's budgets. */
    [[nodiscard]] ShardLedger& of(const AccountId& account) const;
    [[nodiscard]] const std::vector<std::unique_ptr<ShardLedger>>& all() const noexcept { return shards_; }

    /** @return True when every shard has read its stream to the end. */
    [[nodiscard]] bool caughtUp() const;
    /** @return True when every shard is drained, see ShardLedger::drained(). */
    [[nodiscard]] bool drained() const;
    /** @return Number of own items, in all shards, that have not been read back from the log. */
    [[nodiscard]] std::size_t unread() const;
    /** @return Incarnations whose open grants name this router as witness, or whose items have copies here. */
    [[nodiscard]] std::vector<Incarnation> watched() const;

    /** Keyed stream of checkpoints, for ledgers that store them separately; see ledger::toRecords() for its keys. */
    [[nodiscard]] static const StreamName& checkpointStream();

private:
    /** Time between two reads of the checkpoint stream while a shard needs a checkpoint: the newest one may be older
     * than the log's oldest record, and then only the next one helps. */
    static constexpr Duration checkpointReadPause = std::chrono::milliseconds(300);

    /** Reads the checkpoint stream once when a shard needs a checkpoint and the pause is over. */
    void requestCheckpoints();
    /** @return The shard of the stream; null when the stream belongs to no shard. */
    [[nodiscard]] ShardLedger* findByStream(const StreamName& stream) const;
    /** @return The shard with this number; null when there is none. */
    [[nodiscard]] ShardLedger* findByNumber(std::uint32_t shard) const;

    Context& context_;
    std::vector<std::unique_ptr<ShardLedger>> shards_;
    Instant nextRequest_ {};
};

} // namespace swiftlift::node
