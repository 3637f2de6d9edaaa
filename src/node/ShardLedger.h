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

#include "node/AppendTurn.h"
#include "node/Context.h"
#include "node/ItemCopies.h"
#include "node/LogHealth.h"
#include "node/LogPace.h"
#include "node/Peers.h"
#include "node/RecordCache.h"
#include "node/RemoteReplicas.h"
#include "node/ReplicaLink.h"
#include "swiftlift/config/SnapshotSchedule.h"
#include "swiftlift/ledger/CheckpointRecords.h"
#include "swiftlift/ledger/CheckpointSchedule.h"
#include "swiftlift/ledger/Fold.h"
#include "swiftlift/ledger/Holder.h"
#include "swiftlift/ledger/Outbox.h"
#include "swiftlift/ledger/Witness.h"

namespace swiftlift::node {

/** Receives decisions of the ledger. */
class LedgerListener {
public:
    LedgerListener() = default;
    virtual ~LedgerListener() = default;
    LedgerListener(const LedgerListener&) = delete;
    LedgerListener& operator=(const LedgerListener&) = delete;

    /** The ledger has decided which incarnation owns the request. */
    virtual void onClaimDecided(const RequestKey& key, Incarnation owner) = 0;
    /** Tokens of the budget may have become available for waiting requests. */
    virtual void onTokensAvailable(const BudgetRef& budget) = 0;
    /** This incarnation is retired: no new request may be started. */
    virtual void onRetired(const std::string& reason) = 0;
};

/** How certain it is that a bill will be charged, which decides whether a caller may get its answer. */
enum class BillState : std::uint8_t {
    /**
     * The bill has been read back from the log, or replicas have copies that they will append: the grant's witness and
     * every remote replica that responds. While no remote replica responds, the witness's copy suffices only if the log
     * is unreachable too.
     */
    Secured,
    /** The ledger refused the bill: the grant was closed while its holder was paused. */
    Refused,
    /** The ledger may still refuse the bill: the grant's witness has no copy of it and may close the grant. */
    Pending,
    /** The grant is holder-only, so the bill will not be refused; but it would be lost with this process. */
    Alone,
};

/** Where a bill is stored besides this process. */
struct BillReplicas {
    /** The bill has been read back from the log. */
    bool landed = false;
    /** The peer of this router's failure domain that has a copy; std::nullopt when there is none. */
    std::optional<Incarnation> near;
    /** The remote replicas that have a copy. */
    std::vector<Incarnation> distant;
};

/**
 * @brief This router's part in one ledger stream: keeps fold, outbox, holder and witness consistent with each other.
 *
 * ShardLedgerReading.cpp reads the stream, ShardLedger.cpp appends to it, ShardLedgerPeers.cpp exchanges messages with
 * other routers.
 */
class ShardLedger {
public:
    ShardLedger(Context& context, Peers& peers, const LogHealth& health, LedgerListener& listener, std::uint32_t shard);

    void start();
    void onRecords(const LogRecords& records);
    /** @return True while this shard needs the newest checkpoint from the checkpoint stream. */
    [[nodiscard]] bool needsCheckpoint() const noexcept { return needsCheckpoint_; }
    /** @param valueOf Returns what the checkpoint stream has under a key. */
    void onCheckpoints(const ledger::CheckpointLookup& valueOf);
    /**
     * @brief Handles that the log no longer has the records that were requested.
     * @param oldest Offset of the oldest record that the log still has.
     */
    void onExpired(Offset oldest);
    /** Restores a peer's fold as it was after every record below `asOf`, unless records have been read here. */
    void onPeerState(Offset asOf, const std::string& state);
    /** Handles that the log has answered an append to this stream. */
    void onAppendAnswered();
    /** Handles that an append to this stream, or a read of it, has failed. */
    void onAppendFailed();
    /** Sends records from `offset` on to a peer that can't reach the log, or this router's fold instead. */
    void onReadAsk(Incarnation from, Offset offset);
    void onPeerMessage(Incarnation from, const PeerMessage& message);
    /** Handles that the failure detector suspects the peer. */
    void onSuspected(Incarnation peer);
    /** @param stopping This router stops and has no request in progress. */
    void tick(bool stopping);
    /** Adapts the reads and routine appends to the number of routers. */
    void paceLogCalls(const LogPace& pace, std::uint32_t routers);

    /** @return A reservation of `amount` tokens for the request, or why there is none. */
    [[nodiscard]] std::variant<ledger::Reservation, ledger::Shortage> reserve(
        const BudgetRef& budget, const RequestKey& key, Tokens amount);
    /** Removes from the demand a request that was refused while it waited for tokens. */
    void withdraw(const BudgetRef& budget, const RequestKey& key) { holder_.withdraw(budget, key, context_.now()); }
    /**
     * @brief Bills the request and ends its reservation.
     * @param reservation The request's reservation.
     * @param actual Tokens to bill.
     * @return Sequence of the bill's item, for billState().
     */
    [[nodiscard]] std::uint64_t settle(const ledger::Reservation& reservation, Tokens actual);
    /**
     * @param sequence Sequence of the bill's item.
     * @param grantId The grant that the bill names.
     * @param holderOnly The grant is holder-only.
     * @param waited How long the caller has waited for the bill so far.
     * @return The bill's state.
     */
    [[nodiscard]] BillState billState(
        std::uint64_t sequence, const GrantId& grantId, bool holderOnly, Duration waited) const;
    /** @return Where the item of that sequence is stored, as far as it is acknowledged. */
    [[nodiscard]] BillReplicas replicasOf(std::uint64_t sequence) const;
    /** @return True when no other process can close the reservation's grant. */
    [[nodiscard]] bool isHolderOnly(const ledger::Reservation& reservation) const;
    /** Raises the budget to `total` tokens where it has less, and preallocates a share of the budget to this router. */
    void fund(const BudgetRef& budget, Tokens total);
    void setWeighting(const BudgetRef& budget, ledger::Weighting weighting);
    /** Sends new items to the replicas and the log without waiting for the next tick. */
    void flush();
    /** Ends a reservation without a bill. */
    void release(const ledger::Reservation& reservation);
    /** Adds an entry to the outbox, to be appended with one of the next batches. */
    void append(ledger::Entry entry);

    [[nodiscard]] const StreamName& stream() const noexcept { return stream_; }
    [[nodiscard]] const ledger::Fold& fold() const noexcept { return fold_; }
    [[nodiscard]] const ledger::Holder& holder() const noexcept { return holder_; }
    /** @return Number of own items that have not been read back from the log. */
    [[nodiscard]] std::size_t unread() const noexcept { return outbox_.pending(); }
    /** @return True once the fold has reached the end of the log, or the end of what a peer has read. */
    [[nodiscard]] bool caughtUp() const noexcept { return caughtUp_; }
    /** @return True when this router reaches the log, directly or through a peer. */
    [[nodiscard]] bool logInReach() const;
    /** @return True when this incarnation has nothing left open in the ledger and, on a VM that stops, no unappended
     * copies of peers' items either. */
    [[nodiscard]] bool drained() const;
    /** @return Incarnations whose open grants name this router as witness, or whose items have copies here. */
    [[nodiscard]] std::vector<Incarnation> watched() const;

private:
    /** Approximate size of the records in one answer to a peer's ReadAsk. */
    static constexpr std::size_t maxPeerAnswerBytes = 64 * 1024;
    /** Time between two requests for records to a peer while the log is unreachable. */
    static constexpr Duration readAskPeriod = std::chrono::milliseconds(300);
    /** Limit for all routers together, urgent appends not counted. The log handles several hundred appends a second. */
    static constexpr std::int64_t maxRoutineAppendsPerSecond = 100;
    /** Upper bound of the time between two routine batches, whatever the size of the fleet. */
    static constexpr Duration maxBatchPeriod = std::chrono::seconds(4);
    /** How long a sealed grant stays open, so that a holder that was only paused can append its outstanding bills. */
    static constexpr Duration sealedGracePeriod = std::chrono::seconds(10);
    /** How long an answer waits for its bill to be read back while no remote replica responds. On an idle log an append
     * and reading it back take a tenth of this. */
    static constexpr Duration maxLandingWait = std::chrono::milliseconds(500);
    /** After this long without a message from an author, its items are appended here: two heartbeat periods and some
     * delay. */
    static constexpr Duration authorSilenceLimit = std::chrono::milliseconds(1200);
    /** Time between two searches for silent authors and sealed grants. */
    static constexpr Duration authorCheckPeriod = std::chrono::milliseconds(500);
    /** Upper bound of the time between two checkpoints, whatever their size. */
    static constexpr Duration maxCheckpointInterval = std::chrono::minutes(5);
    /** Upper bound of the bytes of a checkpoint's records that are appended together. */
    static constexpr std::size_t maxCheckpointCallBytes = 1024 * 1024;
    /** Upper bound of the bytes per second that checkpoints add to what each reader of the stream reads. */
    static constexpr std::size_t checkpointBytesPerSecond = 1000;
    /** Routers that start together are all in the list of VMs once it has not grown for a time in proportion to those
     * that it shows, at least for the pause between two reads of the list. */
    static constexpr Duration settleTimePerRouter = std::chrono::milliseconds(50);
    static constexpr Duration minSettleTime = std::chrono::milliseconds(600);
    static constexpr Duration maxSettleTime = std::chrono::milliseconds(1500);
    /** Time after the start from which a list of VMs counts as known, whatever it shows. */
    static constexpr Duration maxListWait = std::chrono::seconds(6);
    /** Time between two updates of the fleet's routers by failure domain. */
    static constexpr Duration fleetViewPeriod = std::chrono::milliseconds(500);
    /** Time after which a total is appended again if it has not been read back. */
    static constexpr Duration fundRetryPeriod = std::chrono::seconds(2);

    /** Requests the stream's records from `from` on. */
    void follow(Offset from);
    void applyRecord(Offset offset, const std::string& record);
    /** Restores the fold if the record has a suitable checkpoint, see `seekFrom_`. */
    void seekCheckpoint(Offset offset, const std::string& record);
    /** @param source Where the checkpoint was read, for the log line. */
    void restoreFrom(const ledger::Checkpoint& checkpoint, const char* source);
    void onEffect(const ledger::Effect& effect);
    /** Records and logs that the ledger refused an item of this router. */
    void recordRefusal(const ledger::Refused& refused, const ledger::Batch& batch);
    void execute(ledger::LedgerActions& actions);
    /** @return Time between two routine batches: as configured, otherwise by the number of routers and streams. */
    [[nodiscard]] Duration batchPeriod() const;
    void expediteReadOfNewGrants(const RaiseCeilings& raise);
    /** Logs a loan that a lender has given, and how many lenders were asked for it. */
    void logBorrowed(Incarnation lender, const LoanGiven& loan);
    /** Appends the next batch of the outbox if one is due. */
    void sendBatch();
    void sendCopies();
    void sendWitnessCopies();
    void sendRemoteCopies();
    /** Logs when other remote replicas respond than before; without any, held back bills become urgent. */
    void noteRemoteReplicas();
    /** @return True while no remote replica responds although there are VMs outside this failure domain. */
    [[nodiscard]] bool lacksRemoteReplica() const;
    void onCopyItems(Incarnation from, const CopyItems& message);
    void onItemsCopied(Incarnation from, const ItemsCopied& message);
    /** @return True when the author's items should be appended here: the author is silent, its grants are sealed, or
     * this router stops. */
    [[nodiscard]] bool shouldAppendFor(Incarnation author) const;
    void appendForSilentAuthors();
    /** Closes sealed grants whose grace period is over and whose holder's items have landed. */
    void closeSealedGrants();
    /** Appends a record; through a peer as well while this router can't reach the log. */
    void appendRecord(std::string record);
    void sendToShard(Incarnation to, PeerMessage message);
    void requestRecordsFromPeer();
    /** @return Time between checkpoints of this size in bytes. */
    [[nodiscard]] Duration checkpointIntervalOf(std::size_t bytes) const;
    void appendCheckpointWhenDue();
    /** Writes a checkpoint to the checkpoint stream. */
    void appendSeparateCheckpoint();
    /** Appends the total of each budget that the fold shows below its configured total. */
    void fundWhenDue();
    /** @return True when checkpoints are written to the checkpoint stream, and not to the ledger stream itself. */
    [[nodiscard]] bool usesSeparateCheckpoints() const noexcept;
    /** @return Number of alive routers, as far as is known, including this one. */
    [[nodiscard]] std::uint32_t routers() const;
    /** @return Number of routers that are alive or listed, including this one. */
    [[nodiscard]] std::uint32_t fleetSize() const;
    /** @return True once the list of VMs shows the routers that started together with this one. */
    [[nodiscard]] bool knowsFleet() const;

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
    ItemCopies peerItems_;
    /** Peers that were suspected: this router, as their witness, accepts no more copies of their items. */
    std::set<Incarnation> suspected_;
    /** Copies to the witness, which may close this router's grants once it suspects this router: it must have a bill
     * before the caller gets its answer. */
    ReplicaLink witnessReplica_;
    /** Copies outside the failure domain, which survive when holder and witness die together. */
    RemoteReplicas remoteReplicas_;
    /** The responsive remote replicas that were logged last. */
    std::vector<Incarnation> reportedReplicas_;
    /** Loan requests sent since the last loan of each budget. */
    std::map<BudgetRef, std::uint32_t> lendersAsked_;
    /** The outbox has an item that a caller or another router waits for. */
    bool urgent_ = false;
    /** The last batch was urgent. It is read back as soon as the log has it, because the next batch, which may have a
     * draw in it, waits until then. */
    bool readBackDue_ = false;
    Instant nextBatch_ {};
    /** Sequences of own items that the ledger refused. */
    std::set<std::uint64_t> refused_;
    /** When each sealed grant may be closed by this witness. */
    std::map<GrantId, Instant> closeAt_;
    /** Sealed grants whose CloseGrant has been appended. */
    std::set<GrantId> closing_;
    Instant nextAuthorCheck_ {};
    config::SnapshotSchedule checkpoints_;
    ledger::CheckpointSchedule checkpointSchedule_;
    /** Which set of records the next large checkpoint replaces; writers begin with different ones. */
    unsigned checkpointSet_;
    /** Set while records are searched for a checkpoint that covers every record below this offset. */
    std::optional<Offset> seekFrom_;
    Instant nextReadAsk_ {};
    bool caughtUp_ = false;
    bool logWasReachable_ = false;
    bool stopping_ = false;
    bool gapReported_ = false;
    bool needsCheckpoint_ = false;
    /** Total of a budget according to the configuration. */
    struct Funding {
        Tokens total;
        /** When the turns of all routers begin, or when the total may be appended again. */
        Instant due {};
        AppendTurn turn;
    };
    [[nodiscard]] bool isFundDue(const Funding& funding) const;

    std::map<BudgetRef, Funding> funding_;
    /** The turn of the newest totals, and when they were given. */
    AppendTurn fundTurn_ { 0 };
    std::optional<Instant> fundedAt_;
    std::mt19937_64 random_;
    /** Present pause between two reads of the stream. */
    Duration readPause_ {};
    Instant startedAt_ {};
    ledger::RoutersByDomain domains_;
    Instant nextFleetView_ {};
    /** Shortest time between two routine appends that the log's rate allows. */
    Duration minBatchPeriod_ {};
};

} // namespace swiftlift::node
