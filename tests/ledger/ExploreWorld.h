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

/** @brief A request that may be made at any moment of an exploration. */
struct ScriptedRequest {
    /** Index of the node that gets the request. */
    std::size_t node = 0;
    /** Low half of the request's key. */
    std::uint64_t key = 0;
    /** Tokens to reserve. */
    Tokens amount;
    /** Tokens that the request costs. */
    Tokens actual;
    /** Index of the budget. */
    std::size_t budget = 0;
};

/**
 * @brief Steps that are possible in one exploration, in addition to messages being delivered and log records being
 * appended and read at any time and in any order.
 */
struct Setup {
    /** Tokens bought for each budget. */
    std::int64_t bought = 6;
    std::size_t budgets = 1;
    /** Smallest draw, in tokens. */
    std::int64_t chunk = 4;
    /** Headroom of ceilings, in tokens. */
    std::int64_t headroom = 2;
    /** Free tokens above this are returned. */
    std::int64_t maxFree = 100;
    /** A node draws nothing more once it was admitted this many tokens. */
    std::int64_t maxDrawn = 100;
    std::vector<ScriptedRequest> requests;
    /** Nodes whose environment says that the log is unreachable, so that they borrow. */
    std::set<std::size_t> withoutLog;
    /** For each node, the witnesses that its environment names one after the other. */
    std::vector<std::vector<std::optional<std::size_t>>> witnesses;
    /** Nodes that may crash, and nodes that may stop in order. */
    std::set<std::size_t> mayCrash;
    std::set<std::size_t> mayStop;
    /** Pairs of a node and a node that it may suspect of having failed. */
    std::set<std::pair<std::size_t, std::size_t>> maySuspect;
    /** For each node, how often it may tick. */
    std::vector<std::uint32_t> ticks;
    /** Whether a reserved request may also be released without having run. */
    bool mayRelease = false;
    /**
     * False in a fleet whose witnesses seal but never close grants, and whose nodes go on lending and spending in an
     * outage.
     */
    bool witnessesClose = true;
    /** How the nodes borrow. */
    LoanTerms loans;
    /** Requests made before the exploration begins; every step that follows from them is taken in order. */
    std::vector<std::size_t> initialRequests;
};

/**
 * @brief A policy without estimates: draws a fixed amount when a request needs it, lends and borrows what is requested.
 */
struct FixedPolicy final : HoldingPolicy {
    explicit FixedPolicy(const Setup& explored)
        : setup(explored)
    {
    }

    std::optional<DrawDecision> draw(const BudgetSituation& situation) const override;
    Tokens headroom(const BudgetSituation&) const override { return Tokens { setup.headroom }; }
    Tokens surplus(const BudgetSituation& situation) const override
    {
        return situation.free - Tokens { setup.maxFree };
    }
    /** With several lenders at once, a loan is requested for each waiting request. */
    Tokens loanSize(const BudgetSituation& situation) const override
    {
        return setup.loans.asksAtOnce > 1 ? situation.waiting : situation.need;
    }
    Tokens lendable(const BudgetSituation& situation) const override { return situation.free; }
    LoanTerms loanTerms() const override { return setup.loans; }
    bool witnessed() const override { return true; }
    bool witnessesClose() const override { return setup.witnessesClose; }

    const Setup& setup;
};

using PeerBody = std::variant<SendRaise, SendCeilingsAcked, SendCeilingsRefused, SendLoanAsk, SendLoanGiven,
    SendLoanDenied, SendLoanDone, SendLoanDoneAcked>;

/** @brief A message between two nodes. */
struct Message {
    std::size_t from = 0;
    std::size_t to = 0;
    PeerBody body;
    /** Text of the message, which identifies it. */
    std::string text;
    std::uint64_t hash = 0;
};

/** @brief A record of the log. */
struct Record {
    Batch batch;
    std::vector<Effect> effects;
    /** State of the fold after this record. */
    std::shared_ptr<const Fold> fold;
};

/** @brief A request that holds a reservation. */
struct Running {
    Reservation reservation;
    Tokens actual;
};

/** @brief A router: a holder and a witness over the log as far as the router has read it. */
struct Node {
    Node(Incarnation incarnation, std::unique_ptr<HoldingPolicy> policy, std::shared_ptr<const Fold> start);
    Node(const Node& other);
    Node& operator=(const Node&) = delete;

    std::string text() const;
    /** @brief Moves holder and witness to the fold's state after the next record. */
    void advanceTo(std::shared_ptr<const Fold> later);

    Incarnation id;
    std::shared_ptr<const Fold> fold;
    /** Index of the next record to read. */
    std::size_t position = 0;
    Holder holder;
    Witness witness;
    HolderEnvironment environment;
    Instant now {};
    /** Emitted items that have not landed. */
    std::vector<Item> outbox;
    std::uint64_t sequence = 0;
    std::set<std::size_t> started;
    std::vector<Running> running;
    /** Requests that this node has answered, with their costs. */
    std::vector<Running> answered;
    std::size_t witnessChoice = 0;
    std::uint32_t ticks = 0;
    bool crashed = false;
    std::set<std::size_t> suspected;
};

/** @brief Faults that a test of the explorer injects. The default injects none. */
class FaultInjection {
public:
    virtual ~FaultInjection() = default;
    /** @return Answer to a raise, in place of the witness's `answer`. */
    virtual LedgerActions onRaise(Node&, const SendRaise&, Incarnation, LedgerActions answer) const { return answer; }
    /** @return Incarnation that the holder takes for the sender of an acknowledgement. */
    virtual Incarnation acknowledgedBy(const Node&, const SendCeilingsAcked&, Incarnation from) const { return from; }
    /** @return Sum of bills that the lender gets with LoanDone. */
    virtual Tokens billedOnLoan(const SendLoanDone& done) const { return done.billed; }
    /** @return Effect that the holder processes although it has not read it from the log; nothing for none. */
    virtual std::optional<Effect> assumedEffect(const Node&, const Entry&) const { return {}; }
};

/** @brief Kinds of steps; `index` of a step selects the request, message, or suspected node. */
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

/**
 * @brief State of an exploration: routers, one log and every message ever sent. A message may be delivered late,
 * repeatedly or never.
 */
class World {
public:
    /** @brief Both arguments have to outlive the world. */
    World(const Setup& setup, const FaultInjection& faults);

    /** @return Steps that are possible now. */
    [[nodiscard]] std::vector<Step> enabled() const;
    void execute(const Step& step);
    [[nodiscard]] std::string describe(const Step& step) const;
    /** @return The broken property, as text; empty when all hold. */
    [[nodiscard]] std::string violation() const;
    /**
     * @return Tokens spent and bought, as text, when more were spent than bought; empty otherwise. Answered requests
     * count whether or not they were billed.
     */
    [[nodiscard]] std::string overspent() const;
    [[nodiscard]] std::uint64_t hash() const;
    [[nodiscard]] const Node& node(std::size_t index) const { return *nodes_.at(index); }

private:
    /** @return A copy of the node, which replaces the node that other worlds may share. */
    [[nodiscard]] Node& copyForChange(std::size_t index);
    void append(const Item& item);
    void request(Node& node, std::size_t index, LedgerActions& actions);
    void read(Node& node, LedgerActions& actions);
    void deliver(Node& node, const Message& message, LedgerActions& actions);
    void tick(Node& node, LedgerActions& actions);
    void emit(std::size_t index, LedgerActions actions);
    void send(std::size_t from, Incarnation to, PeerBody body);
    /** @brief Appends every entry, reads every record and delivers every message once, until nothing new happens. */
    void runUntilSettled();
    /** @return Whether a grant's committed tokens exceed the node's ceiling, or the ceiling of a seal in the whole log.
     */
    [[nodiscard]] bool exceedsCeiling(const Node& node) const;
    void enabledAt(std::size_t index, std::vector<Step>& steps) const;

    const Setup* setup_;
    const FaultInjection* faults_;
    std::vector<std::shared_ptr<const Node>> nodes_;
    std::vector<std::uint64_t> nodeHashes_;
    std::vector<std::shared_ptr<const Record>> log_;
    /** Messages sent so far, sorted by their texts, without repeats. */
    std::vector<std::shared_ptr<const Message>> messages_;
    std::uint64_t messagesHash_ = 0;
    std::uint64_t logHash_ = 0;
    /** Last rule that an appended record broke; empty when none did. */
    std::string brokenRule_;
};

} // namespace swiftlift::ledger::explore
