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

/** Two failure domains with two VMs each, a client account with a budget, and a service that it may use. */
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

    /** @return Tokens billed to the account according to the log. */
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

    /** Partitions the first domain from the other one. */
    void partitionDomain()
    {
        for (const std::size_t here : { 0U, 1U }) {
            fleet.cut(here, 2);
            fleet.cut(here, 3);
        }
    }

    /** Partitions the first domain from the other one and from the log. */
    void isolateDomain()
    {
        partitionDomain();
        fleet.cutFromLog(0);
        fleet.cutFromLog(1);
    }

    /** @return The author's responsive remote replicas according to its log lines, the first replica first. */
    [[nodiscard]] std::vector<std::size_t> replicasOf(std::size_t author) const
    {
        const auto lines = fleet.linesOf(author, "copies");
        std::istringstream named(lines.empty() ? "" : textOf(lines.back(), "keepers"));
        std::vector<std::size_t> replicas;
        for (std::string incarnation; named >> incarnation;) {
            for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
                if (incarnation == toHex(fleet.incarnationOf(vm).value())) {
                    replicas.push_back(vm);
                }
            }
        }
        return replicas;
    }

    /** @return The author's first remote replica. */
    [[nodiscard]] std::size_t firstReplicaOf(std::size_t author) const { return replicasOf(author).at(0); }

    /** Calls answerAndCrashInOutage() and runs for 30 s. @return Tokens billed in the log then. */
    [[nodiscard]] Tokens billedAfterCrashInOutage(const std::vector<std::size_t>& vms)
    {
        answerAndCrashInOutage(vms);
        fleet.run(std::chrono::seconds(30));
        return billedInLedger();
    }

    /** Calls answerAndCrash() during an outage of the log, and ends the outage. */
    void answerAndCrashInOutage(const std::vector<std::size_t>& vms)
    {
        fleet.log.outage = true;
        answerAndCrash(vms);
        fleet.log.outage = false;
    }

    /** Sends a request to the first of these VMs, and crashes all of them as soon as the caller has its answer. */
    void answerAndCrash(const std::vector<std::size_t>& vms)
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

    /** Calls answerAndCrash() and runs for 30 s. @return Tokens billed in the log then. */
    [[nodiscard]] Tokens billedAfterCrash(const std::vector<std::size_t>& vms)
    {
        answerAndCrash(vms);
        fleet.run(std::chrono::seconds(30));
        return billedInLedger();
    }

    /** @return Value of the line's text field; empty when there is none. */
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
