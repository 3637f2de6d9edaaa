#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "node/Context.h"
#include "node/ItemCopies.h"
#include "node/LogHealth.h"
#include "node/Peers.h"
#include "node/RecordCache.h"
#include "node/RemoteReplicas.h"
#include "node/ReplicaLink.h"
#include "swiftlift/config/SnapshotSchedule.h"
#include "swiftlift/ledger/CheckpointSchedule.h"
#include "swiftlift/ledger/Fold.h"
#include "swiftlift/ledger/Holder.h"
#include "swiftlift/ledger/Outbox.h"
#include "swiftlift/ledger/Witness.h"

namespace swiftlift::node {

/** Told what the ledger decides. */
class LedgerListener {
public:
    LedgerListener() = default;
    virtual ~LedgerListener() = default;
    LedgerListener(const LedgerListener&) = delete;
    LedgerListener& operator=(const LedgerListener&) = delete;

    virtual void onClaimDecided(const RequestKey& key, Incarnation owner) = 0;
    virtual void onTokensAvailable(const BudgetRef& budget) = 0;
    /** This incarnation is over: nothing new may be started. */
    virtual void onRetired(const std::string& reason) = 0;
};

/** What may be told of a bill. */
enum class BillState : std::uint8_t {
    /** It is read back, or copies of it are kept that will be appended: at the grant's witness, and at the keepers
     * beyond the failure domain that answer; where none does, only while the log is out of reach as well. */
    Secured,
    /** The ledger refused it: the grant was closed under a holder that slept. */
    Refused,
    /** It may still be refused: the grant's witness may close the grant without knowing of it. */
    Pending,
    /** Nobody but this process can close the grant, so the bill will count; but it would be lost with this process. */
    Alone,
};

/** Who has a bill besides this process. */
struct BillReplicas {
    /** It is read back from the log. */
    bool landed = false;
    /** The peer of the own failure domain that has a copy; nothing: none. */
    std::optional<Incarnation> near;
    /** The peers beyond the failure domain that have a copy. */
    std::vector<Incarnation> distant;
};

/**
 * @brief One ledger stream as this router sees it: fold, outbox, holder and witness, kept in step.
 *
 * What is read stands in ShardLedgerReading.cpp, what is appended in ShardLedger.cpp, what goes between routers in
 * ShardLedgerPeers.cpp.
 */
class ShardLedger {
public:
    ShardLedger(Context& context, Peers& peers, const LogHealth& health, LedgerListener& listener, std::uint32_t shard);

    void start();
    void onRecords(const LogRecords& records);
    /** @return True while it needs the newest checkpoint that is kept apart. */
    [[nodiscard]] bool wantsCheckpoint() const noexcept { return wantsCheckpoint_; }
    /** @param record The newest checkpoint that is kept apart; null when there is none. */
    void onCheckpoint(const std::string* record);
    /** The log no longer has what was asked for. */
    void onExpired(Offset oldest);
    /** A peer's state, after every record below `asOf`. */
    void onPeerState(Offset asOf, const std::string& state);
    void onAppendAnswered();
    void onAppendFailed();
    void onReadAsk(Incarnation from, Offset offset);
    void onPeerMessage(Incarnation from, const PeerMessage& message);
    void onSuspected(Incarnation peer);
    void tick(bool stopping);

    [[nodiscard]] std::variant<ledger::Reservation, ledger::Shortage> reserve(
        const BudgetRef& budget, const RequestKey& key, Tokens amount);
    /** The request was refused while it waited for money: it is no demand any more. */
    void withdraw(const BudgetRef& budget, const RequestKey& key) { holder_.withdraw(budget, key, context_.now()); }
    /** Bills the request. @return What has to be secured() before the caller is told. */
    [[nodiscard]] std::uint64_t settle(const ledger::Reservation& reservation, Tokens actual);
    /**
     * @param waited How long the caller has waited for the bill so far.
     * @return Whether a caller may be told of the bill that this item is.
     */
    [[nodiscard]] BillState billState(
        std::uint64_t sequence, const GrantId& grantId, bool holderOnly, Duration waited) const;
    /** @return Who has the item of that sequence, as far as is known here. */
    [[nodiscard]] BillReplicas replicasOf(std::uint64_t sequence) const;
    [[nodiscard]] bool isHolderOnly(const ledger::Reservation& reservation) const;
    /** Sees to it that the budget holds so much in all, and that a share of it is held here. */
    void fund(const BudgetRef& budget, Tokens total);
    void setWeighting(const BudgetRef& budget, ledger::Weighting weighting);
    /** Sends what is new to the witness and the log, without waiting for the next tick. */
    void flush();
    void release(const ledger::Reservation& reservation);
    void append(ledger::Entry entry);

    [[nodiscard]] const StreamName& stream() const noexcept { return stream_; }
    [[nodiscard]] const ledger::Fold& fold() const noexcept { return fold_; }
    [[nodiscard]] const ledger::Holder& holder() const noexcept { return holder_; }
    [[nodiscard]] std::size_t unread() const noexcept { return outbox_.pending(); }
    /** @return True once the fold has reached the end that the log told, or a peer's state. */
    [[nodiscard]] bool caughtUp() const noexcept { return caughtUp_; }
    /** @return True when the log is reached, by this router itself or through a peer. */
    [[nodiscard]] bool logInReach() const;
    /** @return True when nothing of this incarnation is left open in the ledger, and no peer's copy goes with a VM that
     * stops. */
    [[nodiscard]] bool drained() const;
    /** @return Incarnations whose open grants name this router as witness, or whose copies it keeps. */
    [[nodiscard]] std::vector<Incarnation> watched() const;

private:
    static constexpr std::size_t peerAnswerBytes = 64 * 1024;
    static constexpr Duration readAskPeriod = std::chrono::milliseconds(300);
    /** Appends a second that the routers together make without need; the log takes several hundred. */
    static constexpr std::int64_t unhurriedAppends = 100;
    static constexpr Duration longestBatchPeriod = std::chrono::seconds(4);
    /** How long a sealed grant stays open for what its holder, if it was only paused, has still to bill. */
    static constexpr Duration closeGrace = std::chrono::seconds(10);
    /** How long an answer waits for its bill to be read back while no keeper beyond the domain answers; a quiet append
     * and its reading back take a tenth of it. */
    static constexpr Duration landingPatience = std::chrono::milliseconds(500);
    /** Without a word of an author for so long its copies are appended here: two heartbeats and some delay. */
    static constexpr Duration authorSilence = std::chrono::milliseconds(1200);
    static constexpr Duration relayPeriod = std::chrono::milliseconds(500);
    static constexpr Duration longestCheckpointInterval = std::chrono::minutes(5);
    /** What checkpoints may add to what each reader of the stream reads. */
    static constexpr std::size_t checkpointBytesPerSecond = 1000;
    /** All routers read a new total at the same moment; each writes it only if nobody has within this time. */
    static constexpr Duration fundStagger = std::chrono::milliseconds(300);
    static constexpr Duration fundRepeat = std::chrono::seconds(2);

    void follow(Offset from);
    void applyRecord(Offset offset, const std::string& record);
    void seekCheckpoint(Offset offset, const std::string& record);
    void restoreFrom(const ledger::Checkpoint& checkpoint, const char* source);
    void onEffect(const ledger::Effect& effect);
    /** An item of our own was refused. */
    void noteRefused(const ledger::Refused& refused, const ledger::Batch& batch);
    void execute(ledger::LedgerActions& actions);
    [[nodiscard]] Duration batchPeriod() const;
    void readNewGrantsSoon(const RaiseCeilings& raise);
    void sendBatch();
    void sendCopies();
    void sendNearCopies();
    void sendRemoteCopies();
    void noteRemoteReplicas();
    /** @return True while bills get no copy beyond the failure domain though there are VMs to give one to. */
    [[nodiscard]] bool lacksRemoteReplica() const;
    void onCopyItems(Incarnation from, const CopyItems& message);
    void onItemsCopied(Incarnation from, const ItemsCopied& message);
    [[nodiscard]] bool appendsFor(Incarnation author) const;
    void appendForTheDead();
    void closeForTheDead();
    void appendRecord(std::string record);
    void sendToShard(Incarnation to, PeerMessage message);
    void askPeer();
    [[nodiscard]] Duration checkpointIntervalOf(std::size_t bytes) const;
    void appendCheckpointWhenDue();
    void keepCheckpointApart();
    void fundWhenDue();
    [[nodiscard]] bool checkpointsApart() const noexcept;
    /** @return Routers that live, as far as is known, this one included. */
    [[nodiscard]] std::uint32_t routers() const;

    Context& context_;
    Peers& peers_;
    const LogHealth& health_;
    LedgerListener& listener_;
    std::uint32_t shard_;
    StreamName stream_;
    ledger::Fold fold_;
    ledger::Outbox outbox_;
    ledger::Holder holder_;
    ledger::Witness witness_;
    RecordCache cache_;
    ItemCopies copies_;
    /** Peers that were suspected: as their witness this router takes no more copies of theirs. */
    std::set<Incarnation> suspected_;
    /** To the witness, which may close our grants once it suspects us: it must know of a bill before a caller does. */
    ReplicaLink nearCopies_;
    /** To peers beyond the failure domain, which outlive holder and witness when they die together. */
    RemoteReplicas remoteReplicas_;
    /** Those that answered when that was last said. */
    std::vector<Incarnation> reportedReplicas_;
    /** Something waits in the outbox that a caller or another router waits for. */
    bool urgent_ = false;
    /** More than bills was appended last. It is read back as soon as the log has it: the next batch, with a draw in it
     * perhaps, waits until then. */
    bool readBackDue_ = false;
    Instant nextBatch_ {};
    /** Items of our own that the ledger refused. */
    std::set<std::uint64_t> refused_;
    /** Sealed grants that this witness will close, and when. */
    std::map<GrantId, Instant> closeAt_;
    std::set<GrantId> closing_;
    Instant nextRelay_ {};
    config::SnapshotSchedule checkpoints_;
    ledger::CheckpointSchedule checkpointSchedule_;
    std::optional<Offset> seekFrom_;
    Instant nextReadAsk_ {};
    bool caughtUp_ = false;
    bool logWasReachable_ = false;
    bool stopping_ = false;
    bool holeReported_ = false;
    bool wantsCheckpoint_ = false;
    /** What the configuration says that budgets hold in all, and when it may next be written. */
    struct Funding {
        Tokens total;
        Instant due {};
    };
    std::map<BudgetRef, Funding> funding_;
    std::mt19937_64 random_;
};

} // namespace swiftlift::node
