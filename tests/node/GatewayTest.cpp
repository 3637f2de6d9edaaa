#include <set>
#include <string>

#include "node/GatewayFixture.h"

namespace swiftlift::node::testing {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    TEST(GatewayStart, IsNotReadyAndRefusesHonestlyBeforeItKnowsAnything)
    {
        GatewayWorld world;
        EXPECT_FALSE(world.ready());
        const CallId call = world.arrive("/plain/x");
        ASSERT_TRUE(world.replyOf(call));
        EXPECT_EQ(world.replyOf(call)->status, 503);
        EXPECT_EQ(world.replyOf(call)->outcome, Outcome::NotRun);
        EXPECT_TRUE(world.replyOf(call)->retryAfter);
    }

    TEST_F(GatewayTest, PassesARequestOnAndBillsPromptAndEvents)
    {
        const ProxyDispatch order = ordered(world.arrive("/stream/x", 100, 70));
        EXPECT_EQ(order.account, AccountId("club"));
        world.progress(order, 1);
        world.end(order, ProxyAttemptEnd::Completed, 200, 4);
        world.run(seconds(2));
        EXPECT_EQ(world.billed(), Tokens { 100 + 4 * 7 });
    }

    TEST_F(GatewayTest, UnknownPathAndKeyAreRefused)
    {
        expectRefused(world.arrive("/nowhere/x"), 404, "no_route");
        expectRefused(world.arrive("/plain/x", 0, 0, seconds(5), "other"), 401, "bad_key");
    }

    // Symptom: callers wait for a draw that the log has admitted long ago, or for a witness that has not read it.
    // Events: the ledger is read with pauses, so that a fleet makes fewer calls; money is short here, and drawn.
    // Cause: what somebody waits for was read at the same pace as what others wrote for themselves.
    TEST_F(GatewayTest, WhatIsWaitedForIsReadBackAtOnce)
    {
        world.run(seconds(5));
        const int before = world.expeditedReads();
        world.run(seconds(5));
        EXPECT_EQ(world.expeditedReads(), before) << "nobody waits for anything";
        (void)world.arrive("/stream/x", 600'000, 100);
        world.run(milliseconds(40));
        EXPECT_GT(world.expeditedReads(), before) << "more than the stock: it was drawn for";
    }

    TEST_F(GatewayTest, AWitnessReadsAGrantThatItIsAskedAboutAtOnce)
    {
        const int before = world.expeditedReads();
        const Incarnation holder { 78 };
        world.tell(PeerReceived { holder, PeerAddress { "127.0.0.1:7500" },
            RaiseCeilings { { { GrantId { holder, 1 }, Tokens { 1'000 }, false } } } });
        EXPECT_EQ(world.expeditedReads(), before + 1);
    }

    // Symptom: callers of a new route are told 404 for half a minute by one VM, long after the others serve it.
    // Events: a VM is flooded and reads no configuration; a version that adds a route is accepted.
    // Cause: "there is no such route" was said by a configuration of which nobody knew whether it still held.
    TEST_F(GatewayTest, UnknownIsSaidOnlyByAConfigurationThatIsSurelyTheNewest)
    {
        world.logReachable = false;
        world.run(seconds(2));
        const CallId path = world.arrive("/new/x");
        expectRefused(path, 503, "config_unconfirmed");
        EXPECT_EQ(world.replyOf(path)->outcome, Outcome::NotRun);
        EXPECT_TRUE(world.replyOf(path)->retryAfter);
        expectRefused(world.arrive("/plain/x", 0, 0, seconds(5), "new"), 503, "config_unconfirmed");
        EXPECT_TRUE(world.orderOf(world.arrive("/plain/x"))) << "what it knows is served";
        world.logReachable = true;
        world.run(seconds(2));
        world.publish([](fleet::FleetConfig&) {});
        expectRefused(world.arrive("/new/x"), 404, "no_route");
    }

    // Symptom: an order is placed twice.
    // Events: the server's connection breaks before any answer.
    // Cause: the request was sent to another server, though the first may have run it.
    TEST_F(GatewayTest, WhatRunsOnceIsNeverSentAgainOnceItMayHaveRun)
    {
        const CallId call = world.arrive("/order/x");
        world.end(ordered(call), ProxyAttemptEnd::Broken, 0);
        EXPECT_FALSE(world.orderOf(call));
        expectRefused(call, 502, "backend_lost");
        EXPECT_EQ(world.replyOf(call)->outcome, Outcome::Unknown);
    }

    // Symptom: a caller is told to come back for what another server would have run at once.
    // Events: the server says that it is full, or can't be reached.
    // Cause: that was taken for a run.
    TEST_F(GatewayTest, WhatWasNotStartedGoesToAnotherServer)
    {
        for (const ProxyAttemptEnd end :
            { ProxyAttemptEnd::Refused, ProxyAttemptEnd::Unreachable, ProxyAttemptEnd::Misdirected }) {
            const CallId call = world.arrive("/order/x");
            const ProxyDispatch first = ordered(call);
            world.end(first, end, 503);
            EXPECT_NE(ordered(call).backend, first.backend);
            world.end(ordered(call), ProxyAttemptEnd::Completed);
        }
    }

    TEST_F(GatewayTest, FailureOfARepeatableRequestIsPassedOnOnlyWhenNobodyElseMayRunIt)
    {
        const CallId call = world.arrive("/plain/x");
        world.end(ordered(call), ProxyAttemptEnd::Failed, 500);
        EXPECT_FALSE(world.failurePassedOn(call));
        world.end(ordered(call), ProxyAttemptEnd::Failed, 500);
        EXPECT_TRUE(world.failurePassedOn(call));
        EXPECT_FALSE(world.replyOf(call));
    }

    // Symptom: a caller is told that its request has not run, and it has.
    // Events: a repeatable request breaks off at one server, and no other is left.
    // Cause: the last refusal spoke for all attempts.
    TEST_F(GatewayTest, NotRunIsNotSaidAfterARun)
    {
        world.dropServer("p-2");
        world.dropServer("p-3");
        world.run(seconds(3));
        const CallId call = world.arrive("/plain/x");
        world.end(ordered(call), ProxyAttemptEnd::Broken, 0);
        ASSERT_TRUE(world.replyOf(call));
        EXPECT_EQ(world.replyOf(call)->status, 502);
        EXPECT_EQ(world.replyOf(call)->outcome, Outcome::Unknown);
    }

    TEST_F(GatewayTest, StreamIsTakenUpElsewhereOnlyWhereItMayBe)
    {
        const CallId resumable = world.arrive("/resumable/x", 10, 70);
        const ProxyDispatch first = ordered(resumable);
        world.progress(first, 3);
        world.end(first, ProxyAttemptEnd::Broken, 200, 3);
        EXPECT_TRUE(ordered(resumable).resume);
        EXPECT_NE(ordered(resumable).backend, first.backend);
        const CallId once = world.arrive("/stream/x", 10, 70);
        const ProxyDispatch only = ordered(once);
        world.progress(only, 3);
        world.end(only, ProxyAttemptEnd::Broken, 200, 3);
        EXPECT_FALSE(world.orderOf(once));
        EXPECT_TRUE(world.replyOf(once));
    }

    TEST_F(GatewayTest, TimeThatARequestWaitedToBeLookedAtCounts)
    {
        ProxyRequestArrived late;
        late.call = CallId { 900 };
        late.facts.id = "late";
        late.facts.host = "desk";
        late.facts.path = "/plain/x";
        late.facts.key = "k";
        late.facts.deadline = milliseconds(500);
        late.at = Instant { seconds(1) };
        world.tell(late);
        EXPECT_FALSE(world.orderOf(late.call));
        expectRefused(late.call, 503, "deadline_too_short");
    }

    TEST_F(GatewayTest, RouteTimeEndsWithAFinalAnswer)
    {
        const CallId call = world.arrive("/plain/x", 0, 0, seconds(60));
        const ProxyDispatch order = ordered(call);
        world.run(seconds(11));
        EXPECT_TRUE(world.cancelled(order));
        expectRefused(call, 504, "deadline_passed");
    }

    // Symptom: a fleet goes back to routes and keys that were withdrawn.
    // Events: an older configuration is read again, or a record that nobody can read.
    // Cause: whatever came last was taken.
    TEST_F(GatewayTest, ConfigurationNeverGoesBackAndABrokenOneChangesNothing)
    {
        world.publish([](fleet::FleetConfig& config) { config.routes.erase(config.routes.begin()); });
        expectRefused(world.arrive("/plain/x"), 404, "no_route");
        world.tell(KeyedRecords { StreamName("fleet-config"), { { Offset { 1 }, "config", "version 3" } }, true });
        expectRefused(world.arrive("/plain/x"), 404, "no_route");
        world.tell(KeyedRecords { StreamName("fleet-config"), { { Offset { 99 }, "config", "{garbled" } }, false });
        EXPECT_TRUE(world.orderOf(world.arrive("/order/x")));
        ASSERT_EQ(world.lines("unreadable").size(), 1U);
    }

    TEST_F(GatewayTest, ServerThatLeavesGetsNothingNew)
    {
        world.putServer("p-1", "app", "a", fleet::ServerState::Leaving);
        world.dropServer("p-2");
        world.run(milliseconds(40));
        for (int request = 0; request < 10; ++request) {
            const CallId call = world.arrive("/plain/x");
            EXPECT_EQ(ordered(call).backend, BackendId("p-3"));
            world.end(ordered(call), ProxyAttemptEnd::Completed);
        }
    }

    // Symptom: "no backend server" right after the log is back.
    // Events: an outage of the log lets the entries of all servers lapse; they register again within 2 s.
    // Cause: a lapsed entry was taken for a server that left.
    TEST_F(GatewayTest, ServersWhoseEntriesLapsedTogetherAreKeptForAMoment)
    {
        for (const char* id : { "p-1", "p-2", "p-3" }) {
            world.dropServer(id);
        }
        world.run(seconds(1));
        EXPECT_TRUE(world.orderOf(world.arrive("/plain/x")));
        world.run(seconds(1));
        expectRefused(world.arrive("/plain/x"), 503, "no_backend");
    }

    // Symptom: a server that is back is left alone, for the sake of what its former life said.
    // Events: a server says that it is leaving, crashes, and starts again under its id; a late record of the former
    // life follows. Cause: an id was taken for one life.
    TEST_F(GatewayTest, ServerThatStartsAgainUnderItsIdIsANewOne)
    {
        world.putServer("p-1", "app", "a", fleet::ServerState::Leaving, 1000);
        world.dropServer("p-2");
        world.dropServer("p-3");
        world.run(seconds(2));
        expectRefused(world.arrive("/plain/x"), 503, "no_backend");
        world.putServer("p-1", "app", "a", fleet::ServerState::Ready, 2000);
        world.putServer("p-1", "app", "a", fleet::ServerState::Leaving, 1000);
        const CallId call = world.arrive("/plain/x");
        EXPECT_EQ(ordered(call).backend, BackendId("p-1"));
        EXPECT_FALSE(world.lines("backend").empty());
    }

    // Symptom: callers wait for servers that have started again meanwhile.
    // Events: a server loses its power under two requests, and starts again; one of them may run only once.
    // Cause: a server without power closes no connection, so nothing ended the attempts.
    TEST_F(GatewayTest, WhatRanOnAServersFormerLifeIsLost)
    {
        world.putServer("p-1", "app", "a", fleet::ServerState::Ready, 1000);
        world.dropServer("p-2");
        world.dropServer("p-3");
        world.run(milliseconds(100));
        const CallId repeatable = world.arrive("/plain/x");
        const CallId once = world.arrive("/order/x");
        const ProxyDispatch order = ordered(once);
        world.run(milliseconds(300));
        world.putServer("p-9", "app", "a", fleet::ServerState::Ready, 1000);
        world.run(milliseconds(300));
        world.putServer("p-1", "app", "a", fleet::ServerState::Ready, 1000);
        const CallId late = world.arrive("/order/x");
        const BackendId lateAt = ordered(late).backend;
        world.putServer("p-1", "app", "a", fleet::ServerState::Ready, 2000);
        expectRefused(once, 502, "backend_lost");
        EXPECT_EQ(world.replyOf(once)->outcome, Outcome::Unknown);
        EXPECT_TRUE(world.cancelled(order));
        EXPECT_EQ(ordered(repeatable).backend, BackendId("p-9"));
        // Sent after the last sign of the former life was read: it may have reached the new one.
        EXPECT_EQ(ordered(late).backend, lateAt);
    }

    // Symptom: no server is known, or the log fills up with one complaint.
    // Events: another writer leaves records that can't be read, under an id of its own and under that of a server.
    // Cause: what can't be read was taken for a word on servers.
    TEST_F(GatewayTest, RecordsOfAnotherWriterTakeNoServerAway)
    {
        for (int time = 0; time < 100; ++time) {
            world.putForeign("stranger");
            world.putForeign("p-1");
        }
        world.dropServer("p-2");
        world.dropServer("p-3");
        const CallId call = world.arrive("/plain/x");
        EXPECT_EQ(ordered(call).backend, BackendId("p-1"));
        EXPECT_EQ(world.lines("unreadable").size(), 2U);
    }

    TEST_F(GatewayTest, BudgetEndsWithItsOwnRefusalAndARaiseOpensIt)
    {
        expectRefused(world.arrive("/stream/x", 10, 2'000'000), 402, "budget_exhausted");
        world.publish([](fleet::FleetConfig& config) { config.accounts[0].budget = Tokens { 5'000'000 }; });
        world.run(seconds(3));
        const CallId call = world.arrive("/stream/x", 10, 2'000'000);
        world.run(milliseconds(300));
        EXPECT_TRUE(world.orderOf(call));
    }

    // Symptom: callers who want an answer within 200 ms are told after 600 ms that there is no money here.
    // Events: an outage of the log; the router asks one peer after the other for a loan, and none answers.
    // Cause: a request waited equally long for money, whatever its route's objective.
    TEST_F(GatewayTest, MoneyIsNotWaitedForBeyondTheObjective)
    {
        world.logReachable = false;
        for (std::uint64_t peer = 1; peer <= 12; ++peer) {
            Heartbeat heard;
            heard.domain = FailureDomain("a");
            heard.region = Region("r");
            world.tell(PeerReceived {
                Incarnation { 100 + peer }, PeerAddress { "127.0.0.1:" + std::to_string(7500 + peer) }, heard });
        }
        world.run(seconds(2));
        const CallId call = world.arrive("/stream/x", 900'000, 100);
        world.run(milliseconds(140));
        EXPECT_FALSE(world.replyOf(call)) << "a loan may still come in time";
        world.run(milliseconds(140));
        expectRefused(call, 503, "budget_elsewhere");
        EXPECT_TRUE(world.replyOf(call)->retryAfter);
    }

    // Symptom: a request was refused for money, and its id leads to no account and to no figure.
    // Events: the budget is too small for the request.
    // Cause: the line of a refusal before any backend server was chosen held nothing but the reason.
    TEST_F(GatewayTest, LineOfARefusalForMoneyNamesTheAccountAndWhatWasKnownOfItsBudget)
    {
        expectRefused(world.arrive("/stream/x", 10, 2'000'000), 402, "budget_exhausted");
        const auto lines = world.lines("refuse");
        ASSERT_EQ(lines.size(), 1U);
        std::set<std::string> names;
        for (const LogField& field : lines.front().fields) {
            names.insert(field.name);
        }
        for (const char* name :
            { "request", "account", "config", "bought", "billed", "held", "read_to", "log_in_reach" }) {
            EXPECT_TRUE(names.contains(name)) << name;
        }
    }

    // Symptom: a live router refuses for money while the budget is nearly whole.
    // Events: the log goes out of reach before there was any demand.
    // Cause: nothing had been drawn.
    TEST_F(GatewayTest, ServesThroughAnOutageThatComesBeforeAnyDemand)
    {
        world.logReachable = false;
        world.run(seconds(5));
        for (int request = 0; request < 20; ++request) {
            const CallId call = world.arrive("/stream/x", 10'000, 70);
            ASSERT_TRUE(world.orderOf(call)) << request;
            world.end(*world.orderOf(call), ProxyAttemptEnd::Completed, 200, 10);
        }
        EXPECT_TRUE(world.ready());
        world.logReachable = true;
        world.run(seconds(5));
        EXPECT_EQ(world.billed(), Tokens { 20 * (10'000 + 70) });
    }

    // Symptom: an account gets more than it has paid for, by a few answers' tokens.
    // Events: a VM is killed with answers on their way whose bills nobody else knows; its witness lives on; the account
    // then uses its budget up.
    // Cause: the witness closed the dead router's grants after 10 s, which frees what was not billed. That is safe only
    // where no caller is given anything before its bill is copied or landed. Here events go out as they come.
    TEST_F(GatewayTest, WitnessOfADeadRouterNeverFreesWhatItMayHaveDelivered)
    {
        const Incarnation holder { 88 };
        const GrantId grant { holder, 1 };
        const PeerReceived alive { holder, PeerAddress { "127.0.0.2:7400" },
            Heartbeat { FailureDomain { "a" }, Region { "r" }, false, true, {} }, 0 };
        world.tell(alive);
        const BudgetRef budget { AccountId("club"), BudgetId("prepaid") };
        world.writeLedger(holder, ledger::Draw { grant, budget, Tokens { 10'000 }, Tokens { 1 }, Incarnation { 77 } });
        world.run(seconds(1));
        const PeerReceived raise { holder, alive.address, RaiseCeilings { { { grant, Tokens { 6'000 } } } }, 0 };
        world.tell(raise);
        world.run(seconds(30));
        std::set<std::string> states;
        for (const LogLine& line : world.lines("seal")) {
            for (const LogField& field : line.fields) {
                if (field.name == "state") {
                    states.insert(std::get<std::string>(field.value));
                }
            }
        }
        EXPECT_EQ(states, std::set<std::string> { "sealed" }) << "what is above its ceiling is free, no more";
    }

    // Symptom: callers are refused though the process that stops could still serve them.
    // Events: a planned stop; the platform's entry goes on sending callers for two seconds.
    // Cause: the router refused from the signal on.
    TEST_F(GatewayTest, PlannedStopGoesOnServingUntilTheEntryHasNoticed)
    {
        world.tell(StopRequested {});
        EXPECT_FALSE(world.ready());
        const CallId call = world.arrive("/plain/x");
        world.end(ordered(call), ProxyAttemptEnd::Completed);
        world.run(seconds(3));
        expectRefused(world.arrive("/plain/x"), 503, "stopping");
        world.run(seconds(2));
        EXPECT_TRUE(world.stopReady());
    }

    // Symptom: 483,000 of an account's 7.6 million tokens are out of reach for the rest of the day after a planned
    // stop, and 430 of its requests are refused though they are paid for. Events: a router is to stop; its last stream
    // ends 1.3 s before its time is over; its grants are not closed by then. Cause: it began to give back what it held
    // only once nothing was in progress, and a grant takes two passes of the log to be closed.
    TEST_F(GatewayTest, PlannedStopGivesMoneyBackWhileTheLastStreamsRun)
    {
        const CallId call = world.arrive("/stream/x", 1'000, 100);
        world.progress(ordered(call), 1);
        const Tokens cost { 1'100 };
        ASSERT_GT(world.budget().held, cost) << "more is held than the one request needs";
        world.tell(StopRequested {});
        world.run(seconds(4));
        EXPECT_FALSE(world.stopReady()) << "the stream is still there";
        EXPECT_EQ(world.budget().held, cost);
        world.end(ordered(call), ProxyAttemptEnd::Completed);
        world.run(seconds(1));
        EXPECT_TRUE(world.stopReady());
        EXPECT_EQ(world.budget().held, world.budget().billed);
    }

} // namespace
} // namespace swiftlift::node::testing
