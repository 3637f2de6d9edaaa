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

/** A caller's request. */
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

/** Faults of the platform's log. */
struct LogBehaviour {
    bool outage = false;
    /** Number of next appends to the ledger that take effect but whose answer is lost. */
    int answersToLose = 0;
    /** Number of next appends to the ledger that take effect after `appendDelay` and whose answer is lost. */
    int appendsToDelay = 0;
    Duration appendDelay {};
};

/** Behaviour of the fake engines. */
struct EngineBehaviour {
    Duration answerDelay = std::chrono::milliseconds(20);
    /** Number of next attempts whose connection breaks after they have run. */
    int attemptsToBreak = 0;
    bool refuseAll = false;
    /** Engines that refuse every attempt as full. */
    std::set<BackendId> fullEngines;
};

/** Traffic between the processes, in the product's own encoding. */
struct Traffic {
    std::uint64_t appends = 0;
    std::uint64_t appendedBytes = 0;
    std::uint64_t readBytes = 0;
    std::uint64_t peerMessages = 0;
    std::uint64_t peerBytes = 0;
};

/**
 * @brief Simulates cores, a log and engines in one thread under one clock.
 *
 * Every delay is fixed, so runs are reproducible. The simulation only delivers, delays and drops messages and stops
 * processes; all decisions are made by the cores.
 */
class FakeFleet {
public:
    static constexpr Duration messageDelay = std::chrono::milliseconds(1);
    static constexpr Duration logDelay = std::chrono::milliseconds(4);

    /**
     * @param holdingPolicy See CoreSettings::holdingPolicy.
     * @param splitWays See CoreSettings::splitWays.
     */
    explicit FakeFleet(std::string holdingPolicy = "grants", std::uint32_t splitWays = 4);

    /** @return Index of the new VM. */
    std::size_t addVm(const std::string& domain);
    /** Ends the process without a planned stop. */
    void crash(std::size_t vm);
    /** Crashes the process and starts a new one at the same address. */
    void replace(std::size_t vm);
    /** Pauses the process until resume(); events that arrive meanwhile are held. */
    void pause(std::size_t vm);
    /** Continues a paused process and delivers the held events. */
    void resume(std::size_t vm);
    /** Drops messages between the two VMs until heal(). */
    void cut(std::size_t left, std::size_t right);
    /** Makes the log unreachable for the VM until heal(). */
    void cutFromLog(std::size_t vm);
    /** Makes all engines unreachable for the VM until heal(), except through other VMs. */
    void cutFromEngines(std::size_t vm);
    /** Undoes cut(), cutFromLog() and cutFromEngines() for all VMs. */
    void heal();

    void openAccount(const std::string& account);
    void topUp(const std::string& account, std::int64_t tokens);
    void publish(const std::string& document);

    /** Sends the request to the VM's router. @return The call, for await() and replyOf(). */
    CallId send(std::size_t vm, const TestRequest& request);
    /** Starts a planned stop. */
    void stop(std::size_t vm);
    /** @return The router's answer, as JSON, to an operator's or a caller's question. */
    [[nodiscard]] std::string queryOperatorView(std::size_t vm, const std::string& topic, const std::string& argument);
    /** Passes an event to a VM's core, as its transport would. */
    void deliverEvent(std::size_t vm, const Event& event) { deliver(vm, vms_[vm].processNumber, event); }

    void run(Duration duration);
    /** Runs until `condition` is true. @return False when that takes longer than `bound`. */
    [[nodiscard]] bool runUntil(const std::function<bool()>& condition, Duration bound = std::chrono::seconds(60));
    /** Runs until the call is answered. @return The reply; std::nullopt when there is none within a minute. */
    [[nodiscard]] std::optional<Reply> await(CallId call);
    [[nodiscard]] std::optional<Reply> replyOf(CallId call) const;

    /** @return The ledger, folded from the log independently of the cores. */
    [[nodiscard]] ledger::Fold auditedLedger() const;
    /** @return Tokens billed according to the answers that callers got, each request counted once. */
    [[nodiscard]] std::int64_t billedByAnswers(const std::string& account) const;
    /** @return Number of times an engine started the request. */
    [[nodiscard]] int runsOf(const std::string& account, const std::string& id) const;
    /** @return True when the process has completed its planned stop. */
    [[nodiscard]] bool ended(std::size_t vm) const { return vms_[vm].stopReady; }
    /** @return True when the core has ordered a restart of its process. */
    [[nodiscard]] bool restarted(std::size_t vm) const { return vms_[vm].restarts > 0; }
    /** @return The VM's log lines of this kind, oldest first. */
    [[nodiscard]] std::vector<LogLine> linesOf(std::size_t vm, const std::string& kind) const;

    [[nodiscard]] const PeerAddress& addressOf(std::size_t vm) const { return vms_[vm].address; }
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
        /** Incremented when a process starts or ends: events and tasks of an earlier process are dropped. */
        std::uint64_t processNumber = 0;
        bool running = false;
        bool paused = false;
        bool cutFromLog = false;
        bool cutFromEngines = false;
        bool stopReady = false;
        int restarts = 0;
        /** Events that arrived while the process was paused. */
        std::vector<Event> heldEvents;
        /** Next offset to read of each stream that the core follows. */
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
    void deliver(std::size_t vm, std::uint64_t processNumber, const Event& event);
    void execute(std::size_t vm, Actions& actions);
    void on(std::size_t vm, const Dispatch& dispatch);
    void on(std::size_t vm, const ProbeBackend& probe);
    /** @return Why the attempt is not connected; None: it is. */
    [[nodiscard]] ConnectFailure connectFailureOf(std::size_t vm, const Dispatch& dispatch) const;
    void on(std::size_t vm, const Append& append);
    void on(std::size_t vm, const Follow& follow);
    void on(std::size_t vm, const SendPeer& send);
    void poll(std::size_t vm, std::uint64_t processNumber, const StreamName& stream);
    void tick(std::size_t vm, std::uint64_t processNumber);
    void appendDirectly(const StreamName& stream, const std::string& record);
    void appendEntry(ledger::Entry entry);
    [[nodiscard]] bool reachesLog(std::size_t vm) const;

    std::string holdingPolicy_;
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

/** @return The document of a model service that the accounts may use, with one engine in each of two domains. */
[[nodiscard]] std::string plansDocument(
    const std::vector<std::string>& accounts = { "club" }, const std::string& weighting = "refusals");

} // namespace swiftlift::node::testing
