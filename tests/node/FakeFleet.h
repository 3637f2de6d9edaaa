#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "swiftlift/ledger/Fold.h"
#include "swiftlift/node/Core.h"

namespace swiftlift::node::testing {

/** What a test sends. */
struct TestRequest {
    std::string account = "club";
    std::string service = "plans";
    std::string id = "r1";
    std::uint32_t attempt = 1;
    bool idempotent = true;
    std::int64_t promptTokens = 10;
    std::int64_t maxAnswerTokens = 20;
    Duration deadline = std::chrono::seconds(10);
};

/** What the platform's log does at the moment. */
struct LogBehaviour {
    bool outage = false;
    /** Appends that take effect but whose answer is lost. */
    int loseAnswers = 0;
    /** Appends that take effect this much later, their answer lost. */
    int lateAppends = 0;
    Duration lateBy {};
};

/** What the fake engines do at the moment. */
struct EngineBehaviour {
    Duration takes = std::chrono::milliseconds(20);
    /** The next attempts break off after they have run. */
    int breakNext = 0;
    bool refuse = false;
    /** These start nothing. */
    std::set<BackendId> full;
};

/** What went between the processes, as encoded by the product. */
struct Traffic {
    std::uint64_t appends = 0;
    std::uint64_t appendedBytes = 0;
    std::uint64_t readBytes = 0;
    std::uint64_t peerMessages = 0;
    std::uint64_t peerBytes = 0;
};

/**
 * Some cores, a log and engines in one thread under one clock: every delay is fixed, every run the same. Small on
 * purpose: it delivers, delays, cuts and kills, and decides nothing.
 */
class FakeFleet {
public:
    static constexpr Duration messageDelay = std::chrono::milliseconds(1);
    static constexpr Duration logDelay = std::chrono::milliseconds(4);

    /** @param holdingPolicy As CoreSettings::holdingPolicy. @param splitWays As CoreSettings::splitWays. */
    explicit FakeFleet(std::string holdingPolicy = "grants", std::uint32_t splitWays = 4);

    /** @return Index of the new VM. */
    std::size_t addVm(const std::string& domain);
    /** Ends the process without a word. */
    void crash(std::size_t vm);
    /** A new process at the same address. */
    void replace(std::size_t vm);
    /** Nothing runs there until thaw(); what arrives meanwhile waits. */
    void freeze(std::size_t vm);
    void thaw(std::size_t vm);
    void cut(std::size_t left, std::size_t right);
    void cutFromLog(std::size_t vm);
    void heal();

    void openAccount(const std::string& account);
    void topUp(const std::string& account, std::int64_t tokens);
    void publish(const std::string& document);

    CallId send(std::size_t vm, const TestRequest& request);
    void stop(std::size_t vm);
    /** @return What the router answers an operator's or caller's question. */
    [[nodiscard]] std::string asked(std::size_t vm, const std::string& topic, const std::string& argument);
    /** Hands an event to a VM, as its transport would. */
    void tell(std::size_t vm, const Event& event) { deliver(vm, vms_[vm].life, event); }

    void run(Duration duration);
    /** @return False when `condition` did not come true within `bound`. */
    [[nodiscard]] bool runUntil(const std::function<bool()>& condition, Duration bound = std::chrono::seconds(60));
    /** @return The reply; nothing when none came within a minute. */
    [[nodiscard]] std::optional<Reply> await(CallId call);
    [[nodiscard]] std::optional<Reply> replyOf(CallId call) const;

    /** @return The ledger as an outsider folds it from the log. */
    [[nodiscard]] ledger::Fold auditedLedger() const;
    /** @return Sum of what callers were billed by their answers, each request once. */
    [[nodiscard]] std::int64_t billedByAnswers(const std::string& account) const;
    /** @return How often the request was started by an engine. */
    [[nodiscard]] int runsOf(const std::string& account, const std::string& id) const;
    [[nodiscard]] bool ended(std::size_t vm) const { return vms_[vm].stopReady; }
    [[nodiscard]] bool restarted(std::size_t vm) const { return vms_[vm].restarts > 0; }
    [[nodiscard]] std::vector<LogLine> linesOf(std::size_t vm, const std::string& kind) const;

    /** @return The incarnation of the VM's process. */
    [[nodiscard]] Incarnation incarnationOf(std::size_t vm) const;

    [[nodiscard]] static RequestKey keyOf(const std::string& account, const std::string& id);
    [[nodiscard]] Instant now() const noexcept { return now_; }
    [[nodiscard]] std::size_t size() const noexcept { return vms_.size(); }
    [[nodiscard]] bool running(std::size_t vm) const { return vms_[vm].running; }
    /** Called when a caller gets its final answer. */
    std::function<void(const Reply&)> onReply;
    /** Called when a VM sends an order to an engine. */
    std::function<void(std::size_t vm, const SendOrder&)> onOrder;
    Traffic traffic;
    LogBehaviour log;
    EngineBehaviour engines;

private:
    struct Vm {
        std::unique_ptr<Core> core;
        PeerAddress address;
        FailureDomain domain;
        Incarnation incarnation;
        std::uint64_t life = 0;
        bool running = false;
        bool frozen = false;
        bool cutFromLog = false;
        bool stopReady = false;
        int restarts = 0;
        std::vector<Event> held;
        std::map<StreamName, std::uint64_t> followed;
        std::map<AttemptId, RequestKey> attempts;
        std::vector<LogLine> lines;
    };
    struct Task {
        Instant when {};
        std::uint64_t order = 0;
        std::function<void()> work;

        [[nodiscard]] bool operator>(const Task& other) const
        {
            return std::pair(when, order) > std::pair(other.when, other.order);
        }
    };

    void later(Duration delay, std::function<void()> work);
    void startCore(std::size_t vm);
    void deliver(std::size_t vm, std::uint64_t life, const Event& event);
    void execute(std::size_t vm, Actions& actions);
    void on(std::size_t vm, const Dispatch& dispatch);
    void on(std::size_t vm, const Append& append);
    void on(std::size_t vm, const Follow& follow);
    void on(std::size_t vm, const SendPeer& send);
    void poll(std::size_t vm, std::uint64_t life, const StreamName& stream);
    void tick(std::size_t vm, std::uint64_t life);
    void appendDirectly(const StreamName& stream, const std::string& record);
    void appendEntry(ledger::Entry entry);
    [[nodiscard]] bool reachesLog(std::size_t vm) const;

    std::string moneyPolicy_;
    std::uint32_t splitWays_;
    Instant now_ {};
    std::uint64_t order_ = 0;
    std::priority_queue<Task, std::vector<Task>, std::greater<>> tasks_;
    std::vector<Vm> vms_;
    std::map<StreamName, std::vector<std::string>> streams_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::map<CallId, Reply> replies_;
    std::map<CallId, std::pair<std::string, std::string>> callers_;
    std::map<RequestKey, int> runs_;
    std::uint64_t nextCall_ = 0;
    std::uint64_t nextIncarnation_ = 100;
    std::uint64_t operatorSequence_ = 0;
    std::uint64_t nextPublish_ = 0;
};

/** A model service open to one account, with one engine in each of two domains. */
[[nodiscard]] std::string plansDocument(
    const std::vector<std::string>& accounts = { "club" }, const std::string& weighting = "refusals");

} // namespace swiftlift::node::testing
