#include <algorithm>
#include <set>

#include <gtest/gtest.h>

#include "node/FakeFleet.h"

namespace swiftlift::node::testing {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const BackendId engine { "127.0.11.1:9001" };

    /** Three VMs of one failure domain, and its engine, which checks fencing numbers when told to. */
    class PlacementTest : public ::testing::Test {
    protected:
        struct Given {
            std::size_t vm = 0;
            SendOrder order;
        };

        void SetUp() override
        {
            for (int count = 0; count < 3; ++count) {
                fleet.addVm("a");
            }
            fleet.openAccount("club");
            fleet.topUp("club", 1000);
            fleet.publish(plansDocument());
            fleet.onOrder = [this](std::size_t vm, const SendOrder& order) { obey(vm, order); };
            run(seconds(6));
        }

        void obey(std::size_t vm, const SendOrder& order)
        {
            orders.push_back({ vm, order });
            const bool stale = checks && order.fencing < highest;
            highest = std::max(highest, order.fencing);
            answers.push_back({ vm, OrderAnswered { engine, !stale, stale ? highest : 0 } });
            if (!stale && hears && order.body.find("load_model") != std::string::npos) {
                loaded = fleet.now() + seconds(3);
            }
        }

        /** Passes time; each VM asks the engine for its load ten times a second. */
        void run(Duration duration)
        {
            const Instant end = fleet.now() + duration;
            while (fleet.now() < end) {
                fleet.run(milliseconds(100));
                for (const auto& [vm, answer] : std::exchange(answers, {})) {
                    fleet.tell(vm, answer);
                }
                if (loaded && fleet.now() >= *loaded) {
                    models = { "stitch" };
                }
                for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
                    fleet.tell(vm, BackendLoad { engine, true, 0, 0, 3, models, false, 1 });
                    fleet.tell(vm, BackendLoad { BackendId { "127.0.12.1:9001" }, true, 0, 0, 3, {}, false, 1 });
                }
            }
        }

        [[nodiscard]] bool runUntil(const std::function<bool()>& condition)
        {
            for (int step = 0; step < 600 && !condition(); ++step) {
                run(milliseconds(100));
            }
            return condition();
        }

        /** Asks for the model by way of `vm`. */
        [[nodiscard]] std::optional<Reply> ask(std::size_t vm)
        {
            TestRequest request;
            request.id = "r" + std::to_string(++asked);
            const CallId call = fleet.send(vm, request);
            (void)runUntil([&] { return fleet.replyOf(call).has_value(); });
            return fleet.replyOf(call);
        }

        [[nodiscard]] std::size_t holder() const
        {
            for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
                const auto lines = fleet.linesOf(vm, "lease");
                if (!lines.empty() && std::get<std::string>(lines.back().fields[0].value) == "taken") {
                    return vm;
                }
            }
            ADD_FAILURE() << "no VM has the lease";
            return 0;
        }

        FakeFleet fleet;
        std::vector<Given> orders;
        std::vector<std::pair<std::size_t, OrderAnswered>> answers;
        std::vector<std::string> models;
        std::optional<Instant> loaded;
        std::uint64_t highest = 0;
        int asked = 0;
        bool checks = false;
        bool hears = true;
    };

    // Symptom: a service is refused for good, as no engine has its model.
    // Events: requests reach a VM that has not the order lease; the one that has it hears nothing of them.
    // Cause: demand that only its own router knows.
    TEST_F(PlacementTest, RefusalAtAnyVmHasTheModelLoadedByTheHolder)
    {
        const std::size_t other = (holder() + 1) % 3;
        EXPECT_EQ(ask(other)->reason, "no_backend");
        ASSERT_TRUE(runUntil([&] { return !orders.empty(); }));
        EXPECT_EQ(orders.front().vm, holder());
        EXPECT_EQ(orders.front().order.backend, engine) << "the engine of the own failure domain";
        EXPECT_EQ(orders.front().order.body, R"({"kind":"load_model","name":"stitch"})");
        EXPECT_GT(orders.front().order.fencing, 0U);
        run(seconds(8));
        EXPECT_EQ(ask(other)->outcome, Outcome::Answered);
        EXPECT_EQ(orders.size(), 1U);
        const auto lines = fleet.linesOf(holder(), "order");
        ASSERT_EQ(lines.size(), 1U);
        for (const LogField& field : lines.front().fields) {
            EXPECT_NE(field.name, "kind") << "would hide the line's own kind";
        }
    }

    // Symptom: a load comes seconds later than it could.
    // Events: a request is refused at another VM while nobody has the lease; the next holder has read of it before.
    // Cause: what was told between two tenures is nobody's.
    TEST_F(PlacementTest, NeedToldBetweenTwoTenuresIsServed)
    {
        const std::size_t gone = holder();
        fleet.crash(gone);
        run(seconds(5));
        EXPECT_EQ(ask((gone + 1) % 3)->reason, "no_backend");
        EXPECT_TRUE(orders.empty());
        ASSERT_TRUE(runUntil([&] { return !orders.empty(); }));
        EXPECT_NE(orders.front().vm, gone);
    }

    // Symptom: an engine obeys a VM that was paused while another took the lease.
    // Events: the holder freezes amid its orders; another takes over and orders; the first thaws.
    // Cause: a lease that is trusted without looking at the clock.
    TEST_F(PlacementTest, FrozenHolderSendsNothingWhenItThaws)
    {
        hears = false;
        const std::size_t frozen = holder();
        (void)ask(frozen);
        ASSERT_TRUE(runUntil([&] { return !orders.empty(); }));
        const std::uint64_t fencing = orders.back().order.fencing;
        fleet.freeze(frozen);
        run(seconds(13));
        (void)ask((frozen + 1) % 3);
        ASSERT_TRUE(runUntil([&] { return orders.back().vm != frozen; }));
        EXPECT_GT(orders.back().order.fencing, fencing);
        const auto byFrozen = [&] {
            return std::count_if(orders.begin(), orders.end(), [&](const Given& given) { return given.vm == frozen; });
        };
        const auto before = byFrozen();
        fleet.thaw(frozen);
        run(seconds(20));
        EXPECT_EQ(byFrozen(), before);
        EXPECT_NE(holder(), frozen);
    }

    // Symptom: two routers order the same engine in turn.
    // Events: an engine that checks has seen a higher fencing number and answers 409.
    // Cause: orders that go on until the log tells of the other holder.
    TEST_F(PlacementTest, StaleAnswerEndsTheTenureAtOnce)
    {
        checks = true;
        highest = 1000;
        const std::size_t first = holder();
        (void)ask(first);
        ASSERT_TRUE(runUntil([&] { return !orders.empty(); }));
        const std::size_t given = orders.size();
        run(seconds(7));
        EXPECT_EQ(orders.size(), given);
        const auto lines = fleet.linesOf(first, "lease");
        const bool ended = std::any_of(lines.begin(), lines.end(),
            [](const LogLine& line) { return std::get<std::string>(line.fields[0].value) == "stale"; });
        EXPECT_TRUE(ended);
    }

    // Symptom: a router that can't know whether it has the lease goes on ordering.
    // Events: the holder is cut off from the log; another, which reaches it, takes the lease.
    // Cause: a holder that does not need its renewals to come back.
    TEST_F(PlacementTest, HolderCutFromTheLogGivesWay)
    {
        hears = false;
        const std::size_t cut = holder();
        fleet.cutFromLog(cut);
        run(seconds(6));
        const std::size_t given = orders.size();
        (void)ask(cut);
        run(seconds(10));
        EXPECT_EQ(orders.size(), given);
        EXPECT_NE(holder(), cut);
        (void)ask((cut + 1) % 3);
        ASSERT_TRUE(runUntil([&] { return orders.size() > given; }));
        EXPECT_NE(orders.back().vm, cut);
    }

} // namespace
} // namespace swiftlift::node::testing
