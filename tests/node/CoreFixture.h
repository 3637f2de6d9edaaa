#pragma once

#include <vector>

#include <gtest/gtest.h>

#include "node/FakeFleet.h"

namespace swiftlift::node::testing {

/** Two failure domains with two VMs each, one client account with a budget, one service. */
class CoreTest : public ::testing::Test {
protected:
    void SetUp() override
    {
        for (const char* domain : { "a", "a", "b", "b" }) {
            fleet.addVm(domain);
        }
        fleet.openAccount("club");
        fleet.topUp("club", budget);
        fleet.publish(plansDocument());
        fleet.run(std::chrono::seconds(3));
    }

    [[nodiscard]] Tokens billedInLedger() const
    {
        const BudgetRef ref { AccountId { "club" }, BudgetId { "main" } };
        return fleet.auditedLedger().budget(ref)->billed;
    }

    void expectAnswered(CallId call)
    {
        const auto reply = fleet.await(call);
        ASSERT_TRUE(reply.has_value());
        EXPECT_EQ(reply->outcome, Outcome::Answered) << reply->reason << ": " << reply->detail;
    }

    /** Cuts the first domain off from the other one. */
    void cutDomain()
    {
        for (const std::size_t here : { 0U, 1U }) {
            fleet.cut(here, 2);
            fleet.cut(here, 3);
        }
    }

    /** Cuts the first domain off from the log as well. */
    void isolateDomain()
    {
        cutDomain();
        fleet.cutFromLog(0);
        fleet.cutFromLog(1);
    }

    /** Lets the first of these VMs answer while the log is out, and kills all as soon as the caller has its answer.
     */
    [[nodiscard]] Tokens billedAfterLossOf(const std::vector<std::size_t>& vms)
    {
        fleet.log.outage = true;
        TestRequest last;
        last.id = "last";
        const CallId call = fleet.send(vms.front(), last);
        EXPECT_TRUE(fleet.runUntil([&] { return fleet.replyOf(call).has_value(); }));
        EXPECT_EQ(fleet.replyOf(call)->outcome, Outcome::Answered)
            << fleet.replyOf(call)->reason << ": " << fleet.replyOf(call)->detail;
        for (const std::size_t vm : vms) {
            fleet.crash(vm);
        }
        fleet.log.outage = false;
        fleet.run(std::chrono::seconds(30));
        return billedInLedger();
    }

    static constexpr std::int64_t budget = 1000;
    FakeFleet fleet;
};

} // namespace swiftlift::node::testing
