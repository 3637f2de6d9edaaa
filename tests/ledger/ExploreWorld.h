#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "swiftlift/ledger/Fold.h"
#include "swiftlift/ledger/Holder.h"
#include "swiftlift/ledger/Witness.h"

namespace swiftlift::ledger::explore {

struct ScriptedRequest {
    std::size_t node = 0;
    std::uint64_t key = 0;
    Tokens amount;
    Tokens actual;
    std::size_t budget = 0;
};

/** What may happen in one exploration, beside messages and log records moving at any time and in any order. */
struct Setup {
    /** Of each budget. */
    std::int64_t bought = 6;
    std::size_t budgets = 1;
    std::int64_t chunk = 4;
    std::int64_t headRoom = 2;
    std::int64_t keep = 100;
    /** Nothing is drawn any more by a node that was admitted so much. */
    std::int64_t mostDrawn = 100;
    std::vector<ScriptedRequest> requests;
    /** Nodes that believe that the log is unreachable, and so borrow. */
    std::set<std::size_t> cutOff;
    /** For each node, who its surroundings name as witness, one after the other. */
    std::vector<std::vector<std::optional<std::size_t>>> witnesses;
    std::set<std::size_t> mayCrash;
    std::set<std::size_t> mayStop;
    std::set<std::pair<std::size_t, std::size_t>> maySuspect;
    std::vector<std::uint32_t> ticks;
    /** Whether a running request may also end without having run. */
    bool mayRelease = false;
    /** False: a fleet whose witnesses only seal, and whose nodes lend and spend on in an outage. */
    bool witnessesClose = true;
    /** Requests made before the exploration begins, each with all that follows from it in good order. */
    std::vector<std::size_t> before;
};

/** A policy without estimates: draws a chunk at need, lends and borrows what is asked. */
struct FixedPolicy final : HoldingPolicy {
    explicit FixedPolicy(const Setup& explored)
        : setup(explored)
    {
    }

    std::optional<DrawDecision> draw(const BudgetSituation& situation) const override;
    Tokens headRoom(const BudgetSituation&) const override { return Tokens { setup.headRoom }; }
    Tokens surplus(const BudgetSituation& situation) const override { return situation.free - Tokens { setup.keep }; }
    Tokens loanSize(const BudgetSituation& situation) const override { return situation.need; }
    Tokens lendable(const BudgetSituation& situation) const override { return situation.free; }
    bool witnessed() const override { return true; }
    bool witnessesClose() const override { return setup.witnessesClose; }

    const Setup& setup;
};

using PeerBody = std::variant<SendRaise, SendCeilingsAcked, SendCeilingsRefused, SendLoanAsk, SendLoanGiven,
    SendLoanDenied, SendLoanDone, SendLoanDoneAcked>;

struct Message {
    std::size_t from = 0;
    std::size_t to = 0;
    PeerBody body;
    std::string text;
    std::uint64_t hash = 0;
};

struct Record {
    Batch batch;
    std::vector<Effect> effects;
    /** The state after this record. */
    std::shared_ptr<const Fold> fold;
};

/** A request that holds a reservation. */
struct Running {
    Reservation reservation;
    Tokens actual;
};

struct Node {
    Node(Incarnation incarnation, std::unique_ptr<HoldingPolicy> policy, std::shared_ptr<const Fold> start);
    Node(const Node& other);
    Node& operator=(const Node&) = delete;

    std::string text() const;
    /** Lets holder and witness go on over a later state of the log. */
    void readOn(std::shared_ptr<const Fold> later);

    Incarnation id;
    std::shared_ptr<const Fold> fold;
    std::size_t position = 0;
    Holder holder;
    Witness witness;
    HolderEnvironment environment;
    Instant now {};
    std::vector<Item> outbox;
    std::uint64_t sequence = 0;
    std::set<std::size_t> started;
    std::vector<Running> running;
    /** Requests answered by this node, with what they cost. */
    std::vector<Running> answered;
    std::size_t witnessChoice = 0;
    std::uint32_t ticks = 0;
    bool crashed = false;
    std::set<std::size_t> suspected;
};

/** What a test of the explorer itself breaks. The default breaks nothing. */
class Behaviour {
public:
    virtual ~Behaviour() = default;
    /** @return What the witness's answer to a raise becomes. */
    virtual LedgerActions onRaise(Node&, const SendRaise&, Incarnation, LedgerActions answer) const { return answer; }
    /** @return Who is said to have acknowledged. */
    virtual Incarnation acknowledgedBy(const Node&, const SendCeilingsAcked&, Incarnation from) const { return from; }
    /** @return What the lender is told to have been billed. */
    virtual Tokens billedOnLoan(const SendLoanDone& done) const { return done.billed; }
    /** @return An effect that the node takes for read though it is not. */
    virtual std::optional<Effect> takenForRead(const Node&, const Entry&) const { return {}; }
};

enum class StepKind : std::uint8_t {
    Request,
    Answer,
    Release,
    Land,
    Read,
    Deliver,
    Tick,
    Crash,
    Suspect,
    Witness,
    Stop
};

struct Step {
    StepKind kind = StepKind::Tick;
    std::size_t node = 0;
    std::size_t index = 0;
};

/** @brief Routers, one log and every message ever sent: a message may be delivered late, again, or never. */
class World {
public:
    /** Both outlive the world. */
    World(const Setup& setup, const Behaviour& behaviour);

    [[nodiscard]] std::vector<Step> enabled() const;
    void take(const Step& step);
    [[nodiscard]] std::string describe(const Step& step) const;
    /** @return What is broken; empty when nothing is. */
    [[nodiscard]] std::string violation() const;
    /** @return What was spent, when it is more than was bought; requests that were answered count, billed or not. */
    [[nodiscard]] std::string overspent() const;
    [[nodiscard]] std::uint64_t hash() const;
    [[nodiscard]] const Node& node(std::size_t index) const { return *nodes_.at(index); }

private:
    [[nodiscard]] Node& change(std::size_t index);
    void append(const Item& item);
    void request(Node& node, std::size_t index, LedgerActions& actions);
    void read(Node& node, LedgerActions& actions);
    void deliver(Node& node, const Message& message, LedgerActions& actions);
    void tick(Node& node, LedgerActions& actions);
    void emit(std::size_t index, LedgerActions actions);
    void send(std::size_t from, Incarnation to, PeerBody body);
    void runQuiet();
    /** @return Whether the node holds more than its ceiling, or than the ceiling that the log's end has sealed. */
    [[nodiscard]] bool outOfBounds(const Node& node) const;
    void enabledAt(std::size_t index, std::vector<Step>& steps) const;

    const Setup* setup_;
    const Behaviour* behaviour_;
    std::vector<std::shared_ptr<const Node>> nodes_;
    std::vector<std::uint64_t> nodeHashes_;
    std::vector<std::shared_ptr<const Record>> log_;
    /** In the order of their texts, each once. */
    std::vector<std::shared_ptr<const Message>> messages_;
    std::uint64_t messagesHash_ = 0;
    std::uint64_t logHash_ = 0;
    std::string broken_;
};

} // namespace swiftlift::ledger::explore
