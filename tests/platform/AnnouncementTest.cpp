#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <memory>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <unistd.h>

#include "platform/PlatformFleet.h"

namespace swiftlift::platform::test {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /** Index of the first engine of the plain service. */
    constexpr std::size_t plainEngine = 1;
    /** Index of the only engine of the plain service in the failure domain of the first router. */
    constexpr std::size_t ownPlainEngine = 2;
    /** Time after which routers must heed what a server has stated. */
    constexpr milliseconds contactTime { 3000 };
    /** Span in which the requests to a server with a limit are counted. */
    constexpr milliseconds limitSpan { 4000 };
    /** Time between two requests of a caller. */
    constexpr milliseconds pause { 20 };

    /** Real routers, and backend servers that state their limit, their leaving and their rest. */
    class AnnouncementTest : public testing::Test {
    protected:
        void SetUp() override
        {
            folder_ = std::filesystem::temp_directory_path() / ("swiftlift-announcement-" + std::to_string(::getpid()));
            fleet_ = std::make_unique<PlatformFleet>(SWIFTLIFT_ROUTER, folder_, 10'000'000, FleetSize { 3, 1, 3 });
            ASSERT_TRUE(fleet_->start());
        }

        void TearDown() override
        {
            fleet_.reset();
            std::filesystem::remove_all(folder_);
        }

        /** Sends requests to the first `routers` routers for this long. @return Number of requests that were not
         * served.
         */
        int load(milliseconds time, std::size_t routers)
        {
            std::atomic<int> failures = 0;
            std::vector<std::thread> callers;
            const auto end = std::chrono::steady_clock::now() + time;
            for (std::size_t router = 0; router < routers; ++router) {
                callers.emplace_back([&, router] {
                    for (int number = 0; std::chrono::steady_clock::now() < end; ++number) {
                        const std::string id = std::to_string(router) + "-" + std::to_string(++requests_);
                        failures += fleet_->send(router, { .path = "/plain/x", .id = id }).status == 200U ? 0 : 1;
                        std::this_thread::sleep_for(pause);
                    }
                });
            }
            for (std::thread& caller : callers) {
                caller.join();
            }
            return failures;
        }

        [[nodiscard]] static std::int64_t now()
        {
            const auto time = std::chrono::steady_clock::now().time_since_epoch();
            return std::chrono::duration_cast<milliseconds>(time).count();
        }

        /** @return Times in milliseconds at which requests reached the engine since `from`. */
        [[nodiscard]] std::vector<std::int64_t> arrivalsSince(std::size_t engine, std::int64_t from)
        {
            auto arrivals = fleet_->engine(engine).get()["arrivals_ms"].get<std::vector<std::int64_t>>();
            std::erase_if(arrivals, [from](std::int64_t at) { return at < from; });
            return arrivals;
        }

        /** @return Times that engines had to turn more requests away than they bear. */
        [[nodiscard]] std::size_t falls()
        {
            std::size_t sum = 0;
            for (std::size_t engine = plainEngine; engine < fleet_->engines(); ++engine) {
                sum += fleet_->engine(engine).get()["falls"].get<std::size_t>();
            }
            return sum;
        }

        /** @return Most of these arrivals within `limitSpan`. */
        [[nodiscard]] static std::size_t mostInSpan(const std::vector<std::int64_t>& arrivals)
        {
            std::size_t most = 0;
            for (auto last = arrivals.begin(); last != arrivals.end(); ++last) {
                const auto first = std::ranges::upper_bound(arrivals, *last - limitSpan.count());
                most = std::max(most, static_cast<std::size_t>(last - first + 1));
            }
            return most;
        }

        std::filesystem::path folder_;
        std::unique_ptr<PlatformFleet> fleet_;
        std::atomic<int> requests_ = 0;
    };

    // Guards against a server that names the rate it can bear and gets more than that from the routers it has told.
    TEST_F(AnnouncementTest, ServerGetsNoMoreThanTheLimitThatItNames)
    {
        constexpr double limit = 2;
        const auto allowed = static_cast<std::size_t>(1.5 * limit * 4 + 5);
        (void)load(seconds(1), fleet_->routers());
        fleet_->engine(plainEngine).control({ { "announce_limit", limit } });
        const std::int64_t from = now() + contactTime.count();
        EXPECT_EQ(load(contactTime + limitSpan + limitSpan, fleet_->routers()), 0);
        const auto arrivals = arrivalsSince(plainEngine, from);
        EXPECT_LE(mostInSpan(arrivals), allowed);
        EXPECT_FALSE(arrivals.empty()) << "the server serves as much as it can bear";
    }

    // Guards against servers that say that they are brittle, and fall over because the routers fill them at once.
    TEST_F(AnnouncementTest, BrittleServersHaveToTurnFewRequestsAway)
    {
        constexpr int bearable = 3;
        constexpr std::size_t callers = 8;
        for (std::size_t engine = plainEngine; engine < fleet_->engines(); ++engine) {
            fleet_->engine(engine).control({ { "brittle", bearable }, { "brittle_room", 2 }, { "whole_ms", 60 } });
        }
        (void)load(contactTime, fleet_->routers());
        std::size_t before = falls();
        std::vector<std::thread> bursts;
        for (std::size_t caller = 0; caller < callers; ++caller) {
            bursts.emplace_back([&] { (void)load(seconds(4), fleet_->routers()); });
        }
        for (std::thread& burst : bursts) {
            burst.join();
        }
        EXPECT_LE(falls() - before, 2U);
    }

    // Guards against a server that turns a request away, names the time for which it wants nothing, and gets more.
    TEST_F(AnnouncementTest, ServerThatAsksForRestGetsNothingFromThatRouter)
    {
        constexpr std::size_t allowedInRest = 2;
        constexpr milliseconds rest { 3000 };
        constexpr milliseconds slack { 500 };
        EXPECT_EQ(load(seconds(1), 1), 0);
        const std::int64_t from = now();
        fleet_->engine(ownPlainEngine).control({ { "rest_s", 3 }, { "rest_count", 1 } });
        EXPECT_EQ(load(rest + rest, 1), 0);
        const auto all = arrivalsSince(ownPlainEngine, from);
        ASSERT_FALSE(all.empty());
        const auto later = arrivalsSince(ownPlainEngine, all.front() + slack.count());
        const auto inRest
            = std::ranges::count_if(later, [&](std::int64_t at) { return at < all.front() + rest.count(); });
        EXPECT_LE(static_cast<std::size_t>(inRest), allowedInRest);
        EXPECT_GT(later.size(), static_cast<std::size_t>(inRest)) << "it serves again after its rest";
    }

    // Guards against new requests, of any router, to a server that says in its answers only that it leaves.
    TEST_F(AnnouncementTest, LeavingServerGetsNothingFromAnyRouter)
    {
        constexpr milliseconds drainTime { 2000 };
        (void)load(seconds(1), 1);
        fleet_->engine(ownPlainEngine).control({ { "announce_leaving", true } });
        (void)load(milliseconds(500), 1);
        std::this_thread::sleep_for(drainTime);
        const std::int64_t from = now();
        EXPECT_EQ(load(seconds(2), fleet_->routers()), 0);
        EXPECT_TRUE(arrivalsSince(ownPlainEngine, from).empty());
    }

} // namespace
} // namespace swiftlift::platform::test
