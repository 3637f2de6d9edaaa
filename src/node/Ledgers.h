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

/** All ledger streams of this router: finds the one that an account or an event belongs to. */
class Ledgers {
public:
    Ledgers(Context& context, Peers& peers, const LogHealth& health, LedgerListener& listener);

    void start();
    void onCheckpoints(const KeyedRecords& records);
    // What concerns none of the ledger's streams is passed over.
    void on(const LogRecords& event);
    void on(const LogExpired& event);
    void on(const LogUnreachable& event);
    void on(const AppendAnswered& event);
    void on(const PeerReceived& event);
    void onSuspected(Incarnation peer);
    void tick(bool leaving);

    [[nodiscard]] ShardLedger& of(const AccountId& account) const;
    [[nodiscard]] const std::vector<std::unique_ptr<ShardLedger>>& all() const noexcept { return shards_; }

    [[nodiscard]] bool caughtUp() const;
    [[nodiscard]] bool drained() const;
    [[nodiscard]] std::size_t unread() const;
    /** @return Incarnations whose open grants name this router as witness, or whose copies it keeps. */
    [[nodiscard]] std::vector<Incarnation> watched() const;

    /** Keyed stream of the checkpoints that are kept apart; its keys are the names of the ledger's streams. */
    [[nodiscard]] static const StreamName& checkpointStream();

private:
    /** A checkpoint is older than the oldest record kept: the next one is waited for, but not asked for all the time.
     */
    static constexpr Duration checkpointPause = std::chrono::milliseconds(300);

    void askForCheckpoints();
    /** @return The shard of that stream; null when it is none of the ledger's. */
    [[nodiscard]] ShardLedger* named(const StreamName& stream) const;
    /** @return The shard that numbers the grants and loans of a message; null when there is none of that number. */
    [[nodiscard]] ShardLedger* numbered(std::uint32_t shard) const;

    Context& context_;
    std::vector<std::unique_ptr<ShardLedger>> shards_;
    Instant nextAsk_ {};
};

} // namespace swiftlift::node
