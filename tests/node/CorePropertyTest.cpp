#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "node/FakeFleet.h"

namespace swiftlift::node::testing {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr std::size_t vmCount = 4;
    constexpr std::int64_t firstBudget = 600;

    /** One step of a random run. */
    struct Step {
        int kind = 0;
        int vm = 0;
        int other = 0;
        int amount = 0;
    };

    void showValue(const Step& step, std::ostream& out)
    {
        out << '{' << step.kind << ',' << step.vm << ',' << step.other << ',' << step.amount << '}';
    }

    /** Drives a fleet through a random run, and records the calls and purchases for the checks. */
    class RandomRun {
    public:
        RandomRun()
        {
            for (const char* domain : { "a", "a", "b", "b" }) {
                fleet.addVm(domain);
            }
            fleet.openAccount("club");
            fleet.topUp("club", firstBudget);
            fleet.publish(plansDocument());
            fleet.run(seconds(3));
        }

        void apply(const Step& step)
        {
            const auto vm = static_cast<std::size_t>(step.vm);
            switch (step.kind) {
            case 0:
            case 1:
            case 2:
                sendNew(vm, step.amount % 5 != 0);
                break;
            case 3:
                retry(vm);
                break;
            case 4:
                fleet.cut(vm, static_cast<std::size_t>(step.other));
                break;
            case 5:
                fleet.cutFromLog(vm);
                break;
            case 6:
                fleet.heal();
                fleet.log.outage = false;
                break;
            case 7:
                fleet.replace(vm);
                break;
            case 8:
                fleet.pause(vm);
                break;
            case 9:
                fleet.resume(vm);
                break;
            case 10:
                fleet.log.outage = !fleet.log.outage;
                break;
            case 11:
                fleet.log.answersToLose += step.amount % 4;
                break;
            case 12:
                fleet.log.appendsToDelay += step.amount % 3;
                fleet.log.appendDelay = seconds(step.amount % 12);
                break;
            case 13:
                bought += step.amount;
                fleet.topUp("club", step.amount);
                break;
            case 14:
                fleet.engines.attemptsToBreak += step.amount % 3;
                break;
            default:
                fleet.run(milliseconds(step.amount * 40));
                break;
            }
            fleet.run(milliseconds(step.amount));
        }

        /** Ends all faults and runs until the bills have landed. */
        void recover()
        {
            fleet.heal();
            fleet.log.outage = false;
            for (std::size_t vm = 0; vm < vmCount; ++vm) {
                fleet.resume(vm);
            }
            fleet.run(seconds(60));
        }

        [[nodiscard]] ledger::BudgetView ledgerView() const
        {
            return *fleet.auditedLedger().budget({ AccountId { "club" }, BudgetId { "main" } });
        }

        FakeFleet fleet;
        std::int64_t bought = firstBudget;
        std::map<std::string, bool> sent;
        std::map<std::string, std::vector<CallId>> calls;

    private:
        void sendNew(std::size_t vm, bool idempotent)
        {
            TestRequest request;
            request.id = "r" + std::to_string(sent.size());
            request.idempotent = idempotent;
            sent[request.id] = idempotent;
            calls[request.id].push_back(fleet.send(vm, request));
        }

        void retry(std::size_t vm)
        {
            if (sent.empty()) {
                return;
            }
            TestRequest request;
            request.id = sent.rbegin()->first;
            request.idempotent = sent.rbegin()->second;
            request.attempt = static_cast<std::uint32_t>(calls[request.id].size()) + 1;
            calls[request.id].push_back(fleet.send(vm, request));
        }
    };

    rc::Gen<Step> steps()
    {
        constexpr int kinds = 18;
        constexpr int maxAmount = 100;
        return rc::gen::build<Step>(rc::gen::set(&Step::kind, rc::gen::inRange(0, kinds)),
            rc::gen::set(&Step::vm, rc::gen::inRange(0, static_cast<int>(vmCount))),
            rc::gen::set(&Step::other, rc::gen::inRange(0, static_cast<int>(vmCount))),
            rc::gen::set(&Step::amount, rc::gen::inRange(1, maxAmount)));
    }

    // Guards against overspent budgets, requests that are billed twice or never, non-idempotent requests that run
    // twice, and requests reported as "not run" that have run. A run is any sequence of requests, retries at other
    // routers, partitions, outages, lost and late append answers, pauses, replaced VMs and top-ups.
    RC_GTEST_PROP(CoreProperty, InvariantsHoldInAnyRun, ())
    {
        const auto run = *rc::gen::container<std::vector<Step>>(steps());
        RandomRun fleet;
        for (const Step& step : run) {
            fleet.apply(step);
            RC_ASSERT(fleet.fleet.billedByAnswers("club") <= fleet.bought);
        }
        fleet.recover();
        const auto view = fleet.ledgerView();
        RC_ASSERT(view.held <= view.bought);
        RC_ASSERT(view.billed.value() <= fleet.bought);
        RC_ASSERT(fleet.fleet.billedByAnswers("club") <= fleet.bought);
        for (const auto& [id, idempotent] : fleet.sent) {
            const int runs = fleet.fleet.runsOf("club", id);
            RC_ASSERT(idempotent || runs <= 1);
            bool maybeRun = false;
            for (const CallId call : fleet.calls[id]) {
                const auto reply = fleet.fleet.replyOf(call);
                maybeRun = maybeRun || !reply || reply->outcome != Outcome::NotRun;
            }
            RC_ASSERT(maybeRun || runs == 0);
        }
    }

} // namespace
} // namespace swiftlift::node::testing
