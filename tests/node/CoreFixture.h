#pragma once

#include <algorithm>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "node/Context.h"
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

    /** @return The VMs that the author names as keepers of its copies beyond the failure domain, the first one first.
     */
    [[nodiscard]] std::vector<std::size_t> replicasOf(std::size_t author) const
    {
        const auto lines = fleet.linesOf(author, "copies");
        std::istringstream named(lines.empty() ? "" : textOf(lines.back(), "keepers"));
        std::vector<std::size_t> keepers;
        for (std::string incarnation; named >> incarnation;) {
            for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
                if (incarnation == toHex(fleet.incarnationOf(vm).value())) {
                    keepers.push_back(vm);
                }
            }
        }
        return keepers;
    }

    [[nodiscard]] std::size_t keeperOf(std::size_t author) const { return replicasOf(author).at(0); }

    /** Lets the first of these VMs answer while the log is out, and kills all as soon as the caller has its answer.
     */
    [[nodiscard]] Tokens billedAfterLossOf(const std::vector<std::size_t>& vms)
    {
        loseWithBillInFlight(vms);
        fleet.run(std::chrono::seconds(30));
        return billedInLedger();
    }

    /** The same, up to the moment at which the log is back. */
    void loseWithBillInFlight(const std::vector<std::size_t>& vms)
    {
        fleet.log.outage = true;
        answerAndKill(vms);
        fleet.log.outage = false;
    }

    /** Lets the first of these VMs answer, and kills all as soon as the caller has its answer. */
    void answerAndKill(const std::vector<std::size_t>& vms)
    {
        TestRequest last;
        last.id = "last";
        const CallId call = fleet.send(vms.front(), last);
        EXPECT_TRUE(fleet.runUntil([&] { return fleet.replyOf(call).has_value(); }));
        EXPECT_EQ(fleet.replyOf(call)->outcome, Outcome::Answered)
            << fleet.replyOf(call)->reason << ": " << fleet.replyOf(call)->detail;
        for (const std::size_t vm : vms) {
            fleet.crash(vm);
        }
    }

    /** @return What is billed half a minute after the VMs were killed as the first of them had answered. */
    [[nodiscard]] Tokens billedAfterKillOf(const std::vector<std::size_t>& vms)
    {
        answerAndKill(vms);
        fleet.run(std::chrono::seconds(30));
        return billedInLedger();
    }

    [[nodiscard]] static std::string textOf(const LogLine& line, const std::string& name)
    {
        const auto field
            = std::ranges::find_if(line.fields, [&name](const auto& candidate) { return candidate.name == name; });
        const auto* text = field == line.fields.end() ? nullptr : std::get_if<std::string>(&field->value);
        return text == nullptr ? "" : *text;
    }

    static constexpr std::int64_t budget = 1000;
    FakeFleet fleet;
};

} // namespace swiftlift::node::testing
