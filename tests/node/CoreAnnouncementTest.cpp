#include <algorithm>
#include <string>
#include <variant>

#include <gtest/gtest.h>

#include "node/CoreFixture.h"

namespace swiftlift::node::testing {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const std::string engine = "127.0.11.1:9001";
    const std::string otherEngine = "127.0.11.2:9001";

    /** Two VMs and two engines, at the project's own interface. */
    class CoreAnnouncementTest : public ::testing::Test {
    protected:
        void SetUp() override
        {
            fleet.addVm("a");
            fleet.addVm("a");
            fleet.openAccount("club");
            fleet.topUp("club", 100'000);
            fleet.publish(plansDocument() + "  - address: " + otherEngine + "\n    domain: a\n");
            fleet.run(seconds(3));
        }

        void announce(std::size_t vm, const routing::Announcement& announcement)
        {
            fleet.deliverEvent(vm, BackendAnnounced { BackendId(engine), announcement });
        }

        /** Sends requests for this long, one every 50 ms. @return How many of them the VM dispatched to `engine`. */
        int dispatches(std::size_t vm, Duration time)
        {
            const auto toEngine = [&] {
                return std::ranges::count_if(fleet.linesOf(vm, "route"), [](const LogLine& line) {
                    return std::ranges::any_of(line.fields, [](const auto& field) {
                        const auto* text = std::get_if<std::string>(&field.value);
                        return field.name == "backend" && text != nullptr && *text == engine;
                    });
                });
            };
            const auto before = toEngine();
            for (Duration passed {}; passed < time; passed += milliseconds(50)) {
                TestRequest request;
                request.id = "a" + std::to_string(++requests_);
                (void)fleet.send(vm, request);
                fleet.run(milliseconds(50));
            }
            return static_cast<int>(toEngine() - before);
        }

        FakeFleet fleet;

    private:
        int requests_ = 0;
    };

    // Guards against engines of the own interface whose rest is not heeded because only the platform's dialect reads
    // it.
    TEST_F(CoreAnnouncementTest, RestingEngineGetsNothingUntilItsRestIsOver)
    {
        EXPECT_GT(dispatches(0, seconds(1)), 0);
        announce(0, { {}, false, seconds(3) });
        EXPECT_EQ(dispatches(0, milliseconds(2'900)), 0);
        fleet.run(milliseconds(200));
        EXPECT_GT(dispatches(0, seconds(2)), 0);
    }

    TEST_F(CoreAnnouncementTest, LeavingEngineGetsNothingFromAnyVm)
    {
        announce(0, { {}, true, {} });
        fleet.run(milliseconds(1'500));
        EXPECT_EQ(dispatches(0, seconds(1)), 0);
        EXPECT_EQ(dispatches(1, seconds(1)), 0);
    }

    // Guards against a restarted engine that gets no requests because VMs tell each other what its former process said.
    TEST_F(CoreAnnouncementTest, RestartedEngineIsNotTakenForLeavingBecauseOfPeers)
    {
        BackendLoad load;
        load.backend = BackendId(engine);
        load.reachable = true;
        load.models = { "stitch" };
        load.generation = 1;
        fleet.deliverEvent(0, load);
        announce(1, { {}, true, {} });
        fleet.run(milliseconds(1'500));
        EXPECT_EQ(dispatches(0, seconds(1)), 0);
        load.generation = 2;
        fleet.deliverEvent(0, load);
        fleet.run(milliseconds(1'500));
        EXPECT_GT(dispatches(0, seconds(4)), 0);
    }

    // Guards against a limit that each VM keeps for itself: two of them would send twice as much.
    TEST_F(CoreAnnouncementTest, LimitedEngineGetsNoMoreThanItsLimitFromBothVms)
    {
        VmListRead list;
        for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
            list.vms.push_back({ fleet.addressOf(vm), FailureDomain("a"), Region("r"), false });
        }
        for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
            fleet.deliverEvent(vm, list);
        }
        announce(0, { 1.0, false, {} });
        fleet.run(milliseconds(1'500));
        const int sent = dispatches(0, seconds(4)) + dispatches(1, seconds(4));
        EXPECT_LE(sent, 8) << "1 a second, for 8 s";
        EXPECT_GE(sent, 2);
    }

} // namespace
} // namespace swiftlift::node::testing
