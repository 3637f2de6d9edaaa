#include <algorithm>
#include <set>

#include <gtest/gtest.h>

#include "node/FakeFleet.h"

namespace swiftlift::node::testing {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const BackendId engine { "127.0.11.1:9001" };

    /** Three VMs of one failure domain, and its engine, which checks fencing numbers while `checksFencing` is set. */
    class PlacementTest : public ::testing::Test {
    protected:
        /** An order, and the VM that sent it. */
        struct SentOrder {
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
            fleet.onOrder = [this](std::size_t vm, const SendOrder& order) { onOrderSent(vm, order); };
            run(seconds(6));
        }

        /** Simulates the engine's handling of an order. */
        void onOrderSent(std::size_t vm, const SendOrder& order)
        {
            orders.push_back({ vm, order });
            const bool stale = checksFencing && order.fencing < highestFencing;
            highestFencing = std::max(highestFencing, order.fencing);
            answers.push_back({ vm, OrderAnswered { engine, !stale, stale ? highestFencing : 0 } });
            if (!stale && loadsModels && order.body.find("load_model") != std::string::npos) {
                loadedAt = fleet.now() + seconds(3);
            }
        }

        /** Runs the fleet; each VM gets load reports and answers of the engines ten times a second. */
        void run(Duration duration)
        {
            const Instant end = fleet.now() + duration;
            while (fleet.now() < end) {
                fleet.run(milliseconds(100));
                for (const auto& [vm, answer] : std::exchange(answers, {})) {
                    fleet.deliverEvent(vm, answer);
                }
                if (loadedAt && fleet.now() >= *loadedAt) {
                    models = { "stitch" };
                }
                for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
                    fleet.deliverEvent(vm, BackendLoad { engine, true, 0, 0, 3, models, false, 1 });
                    fleet.deliverEvent(
                        vm, BackendLoad { BackendId { "127.0.12.1:9001" }, true, 0, 0, 3, {}, false, 1 });
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

        /** Sends a request for the model to `vm`. @return The reply; std::nullopt when there is none within a minute.
         */
        [[nodiscard]] std::optional<Reply> sendRequest(std::size_t vm)
        {
            TestRequest request;
            request.id = "r" + std::to_string(++requestCount);
            const CallId call = fleet.send(vm, request);
            (void)runUntil([&] { return fleet.replyOf(call).has_value(); });
            return fleet.replyOf(call);
        }

        /** @return The VM that holds the order lease. */
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
        std::vector<SentOrder> orders;
        std::vector<std::pair<std::size_t, OrderAnswered>> answers;
        std::vector<std::string> models;
        std::optional<Instant> loadedAt;
        std::uint64_t highestFencing = 0;
        int requestCount = 0;
        bool checksFencing = false;
        bool loadsModels = true;
    };

    // Guards against a service whose requests are always refused because no engine has its model: the requests reach a
    // VM without the order lease, and the lease holder does not learn of them.
    TEST_F(PlacementTest, RefusalAtAnyVmHasTheModelLoadedByTheHolder)
    {
        const std::size_t other = (holder() + 1) % 3;
        EXPECT_EQ(sendRequest(other)->reason, "no_backend");
        ASSERT_TRUE(runUntil([&] { return !orders.empty(); }));
        EXPECT_EQ(orders.front().vm, holder());
        EXPECT_EQ(orders.front().order.backend, engine) << "the engine of the router's own failure domain";
        EXPECT_EQ(orders.front().order.body, R"({"kind":"load_model","name":"stitch"})");
        EXPECT_GT(orders.front().order.fencing, 0U);
        run(seconds(8));
        EXPECT_EQ(sendRequest(other)->outcome, Outcome::Answered);
        EXPECT_EQ(orders.size(), 1U);
        const auto lines = fleet.linesOf(holder(), "order");
        ASSERT_EQ(lines.size(), 1U);
        for (const LogField& field : lines.front().fields) {
            EXPECT_NE(field.name, "kind") << "a field named kind would hide the kind of the line";
        }
    }

    // Guards against a model that is loaded seconds late: a request is refused while no VM holds the lease, and the
    // next holder ignores the need because it was read before the lease term.
    TEST_F(PlacementTest, NeedReportedBetweenTwoLeaseTermsIsServed)
    {
        const std::size_t crashed = holder();
        fleet.crash(crashed);
        run(seconds(5));
        EXPECT_EQ(sendRequest((crashed + 1) % 3)->reason, "no_backend");
        EXPECT_TRUE(orders.empty());
        ASSERT_TRUE(runUntil([&] { return !orders.empty(); }));
        EXPECT_NE(orders.front().vm, crashed);
    }

    // Guards against orders of a VM that was paused while another took the lease: the holder is paused between its
    // orders, another VM takes the lease and sends orders, and the first VM resumes and has to compare the lease's end
    // with the clock.
    TEST_F(PlacementTest, PausedHolderSendsNoOrderWhenItResumes)
    {
        loadsModels = false;
        const std::size_t pausedVm = holder();
        (void)sendRequest(pausedVm);
        ASSERT_TRUE(runUntil([&] { return !orders.empty(); }));
        const std::uint64_t fencing = orders.back().order.fencing;
        fleet.pause(pausedVm);
        run(seconds(13));
        (void)sendRequest((pausedVm + 1) % 3);
        ASSERT_TRUE(runUntil([&] { return orders.back().vm != pausedVm; }));
        EXPECT_GT(orders.back().order.fencing, fencing);
        const auto countFromPaused = [&] {
            return std::count_if(
                orders.begin(), orders.end(), [&](const SentOrder& sent) { return sent.vm == pausedVm; });
        };
        const auto before = countFromPaused();
        fleet.resume(pausedVm);
        run(seconds(20));
        EXPECT_EQ(countFromPaused(), before);
        EXPECT_NE(holder(), pausedVm);
    }

    // Guards against two routers that send orders to the same engine by turns: an engine that has received a higher
    // fencing number answers 409, and the router has to stop at this answer, not only once it reads from the log that
    // another router holds the lease.
    TEST_F(PlacementTest, StaleAnswerEndsTheLeaseTermAtOnce)
    {
        checksFencing = true;
        highestFencing = 1000;
        const std::size_t first = holder();
        (void)sendRequest(first);
        ASSERT_TRUE(runUntil([&] { return !orders.empty(); }));
        const std::size_t orderCount = orders.size();
        run(seconds(7));
        EXPECT_EQ(orders.size(), orderCount);
        const auto lines = fleet.linesOf(first, "lease");
        const bool ended = std::any_of(lines.begin(), lines.end(),
            [](const LogLine& line) { return std::get<std::string>(line.fields[0].value) == "stale"; });
        EXPECT_TRUE(ended);
    }

    // Guards against orders of a router whose lease has expired: the holder is partitioned from the log, so it does not
    // read back its renewals, and another router takes the lease.
    TEST_F(PlacementTest, HolderCutOffFromTheLogLosesTheLease)
    {
        loadsModels = false;
        const std::size_t cut = holder();
        fleet.cutFromLog(cut);
        run(seconds(6));
        const std::size_t orderCount = orders.size();
        (void)sendRequest(cut);
        run(seconds(10));
        EXPECT_EQ(orders.size(), orderCount);
        EXPECT_NE(holder(), cut);
        (void)sendRequest((cut + 1) % 3);
        ASSERT_TRUE(runUntil([&] { return orders.size() > orderCount; }));
        EXPECT_NE(orders.back().vm, cut);
    }

} // namespace
} // namespace swiftlift::node::testing
