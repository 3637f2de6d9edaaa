#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <unistd.h>

#include "HttpClient.h"
#include "common/HttpServer.h"
#include "common/Text.h"
#include "platform/PlatformFleet.h"
#include "platform/StreamCaller.h"

namespace swiftlift::platform::test {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::steady_clock;

    constexpr std::size_t routerCount = 3;
    constexpr std::size_t modelEngines = 4;
    constexpr std::uint64_t streamEvents = 40;
    constexpr double betweenEventsMs = 6;
    /** Nearly all streams may go on at another engine, several times. */
    constexpr double retryRatio = 3;
    /** Streams that run at once. */
    constexpr std::size_t callerCount = 12;
    /** Attempts of a caller for one stream. */
    constexpr std::size_t maxCallerAttempts = 12;
    constexpr milliseconds pauseBeforeTakeUp { 30 };
    constexpr milliseconds pauseAfterRefusal { 200 };
    constexpr milliseconds pauseBetweenDisturbances { 15 };
    /** Bytes of an event's text within which an engine may break off. */
    constexpr std::uint64_t eventBytes = 30;
    constexpr std::uint64_t seed = 70;

    /** The streams of a series, and how each caller goes about its own. */
    struct Series {
        std::string name;
        /** Streams of each caller, one after the other. */
        std::size_t streamsPerCaller = 2;
        std::string path = "/resumable/x";
        bool takesUp = true;
        /** The caller keeps its connection for its next attempts and streams. */
        bool keepsConnection = false;
        ReadingStyle style {};
        /** The router that a caller comes to with this attempt; by default another one for each. */
        std::function<std::size_t(std::size_t caller, std::size_t attempt)> router
            = [](std::size_t caller, std::size_t attempt) { return (caller + attempt) % routerCount; };
    };

    /** What became of the streams of a series. */
    struct Outcome {
        std::size_t streams = 0;
        std::size_t complete = 0;
        /** Answers that ended early after at least one event. */
        std::size_t broken = 0;
        std::size_t refused = 0;
        std::size_t takenUp = 0;
        /** How often an answer went on at another engine, in all and at most in one answer. */
        std::uint64_t resumed = 0;
        std::uint64_t resumedMost = 0;
        /** Streams out of order. */
        std::size_t outOfOrder = 0;
        std::vector<std::string> faults;
    };

    /** Three routers, and four model engines of one version; callers check the order of all events. */
    class StreamOrderTest : public testing::Test {
    protected:
        void SetUp() override
        {
            folder_ = std::filesystem::temp_directory_path() / ("swiftlift-order-" + std::to_string(::getpid()));
            const FleetSize size { .routers = routerCount,
                .modelEngines = modelEngines,
                .plainEngines = 1,
                .links = true,
                .maxAttempts = 4,
                .retryRatio = retryRatio };
            fleet_ = std::make_unique<PlatformFleet>(SWIFTLIFT_ROUTER, folder_, 1'000'000'000, size);
            ASSERT_TRUE(fleet_->start());
            controlEngines({ { "events", streamEvents }, { "between_events_ms", betweenEventsMs } });
        }

        void TearDown() override
        {
            fleet_.reset();
            if (!HasFailure())
                std::filesystem::remove_all(folder_);
        }

        void controlEngines(const standins::Json& change)
        {
            for (std::size_t engine = 0; engine < modelEngines; ++engine) {
                fleet_->engine(engine).control(change);
            }
        }

        [[nodiscard]] std::uint64_t random(std::uint64_t below) { return random_() % below; }

        /** One engine breaks its next streams off, some events later and, if so wanted, within an event. */
        void breakOne(bool withinEvents, bool resets)
        {
            const std::size_t engine = random(modelEngines);
            fleet_->engine(engine).control({ { "break_after", random(15) }, { "half_event", withinEvents },
                { "break_within", 1 + random(eventBytes) }, { "break_resets", resets },
                { "break_next", 1 + random(4) } });
        }

        /** The series' callers receive their streams; `disturb` is called all the while. */
        template <typename Disturb> Outcome play(const Series& series, Disturb disturb)
        {
            Outcome outcome;
            disturb();
            std::atomic<std::size_t> atWork = callerCount;
            std::vector<std::thread> callers;
            for (std::size_t caller = 0; caller < callerCount; ++caller) {
                callers.emplace_back([&, caller] {
                    receiveAll(series, caller, outcome);
                    --atWork;
                });
            }
            while (atWork > 0) {
                disturb();
                std::this_thread::sleep_for(pauseBetweenDisturbances);
            }
            for (std::thread& caller : callers) {
                caller.join();
            }
            countResumed(series, outcome);
            report(series, outcome);
            return outcome;
        }

        /** Plays series, each checked, until an answer has gone on several times. @return Outcome of the last one. */
        Outcome playUntilResumedOften(const std::string& name, bool withinEvents, bool resets)
        {
            constexpr int maxSeries = 6;
            Outcome outcome;
            for (int number = 0; number < maxSeries && outcome.resumedMost < 2; ++number) {
                const Series series { .name = name + std::to_string(number), .streamsPerCaller = 3 };
                outcome = play(series, [&] { breakOne(withinEvents, resets); });
                expectOrderAndEnds(outcome);
                EXPECT_GT(outcome.takenUp, 0U);
            }
            return outcome;
        }

        /** Plays series, each with its order checked, until callers have taken a stream up. */
        template <typename Disturb> void playUntilTakenUp(const std::string& name, Disturb disturb)
        {
            constexpr int maxSeries = 6;
            std::size_t takenUp = 0;
            for (int number = 0; number < maxSeries && takenUp == 0; ++number) {
                const Outcome outcome = play({ .name = name + std::to_string(number) }, disturb);
                expectOrder(outcome);
                takenUp = outcome.takenUp;
            }
            EXPECT_GT(takenUp, 0U);
        }

        void countResumed(const Series& series, Outcome& outcome)
        {
            std::map<std::string, std::uint64_t> runs;
            for (std::size_t engine = 0; engine < modelEngines; ++engine) {
                const standins::Json audit = fleet_->engine(engine).get();
                for (const auto& [id, run] : audit["runs"].items()) {
                    if (id.starts_with(series.name + "-")) {
                        runs[id] += run["runs"].get<std::uint64_t>();
                    }
                }
            }
            for (const auto& [id, count] : runs) {
                outcome.resumed += count - 1;
                outcome.resumedMost = std::max(outcome.resumedMost, count - 1);
            }
        }

        void receiveAll(const Series& series, std::size_t caller, Outcome& outcome)
        {
            std::unique_ptr<StreamCaller> connection;
            for (std::size_t number = 0; number < series.streamsPerCaller; ++number) {
                const std::string name = series.name + "-" + std::to_string(caller) + "-" + std::to_string(number);
                receiveStream(series, caller, name, connection, outcome);
            }
        }

        /** Receives one stream and takes it up until it is complete, or the caller has had all its attempts. */
        void receiveStream(const Series& series, std::size_t caller, const std::string& name,
            std::unique_ptr<StreamCaller>& connection, Outcome& outcome)
        {
            JoinedStream stream(streamEvents);
            CallerRequest request = requestOf(series.path, name);
            Outcome mine;
            for (std::size_t attempt = 0; attempt < maxCallerAttempts && !stream.complete(); ++attempt) {
                if (!connection || !series.keepsConnection) {
                    connection = std::make_unique<StreamCaller>(
                        fleet_->addressOf(series.router(caller, attempt)), series.style);
                }
                const std::uint64_t before = stream.last();
                const SeenAnswer answer = connection->call(request);
                stream.add(answer, request.id);
                mine.takenUp += before > 0 && stream.last() > before ? 1 : 0;
                mine.broken += !answer.whole && stream.last() > before ? 1 : 0;
                mine.refused += answer.status > 200U ? 1 : 0;
                if (stream.last() > 0 && !series.takesUp) {
                    break;
                }
                if (before == 0 && stream.last() > 0) {
                    request.resumes = request.id;
                }
                request.lastEvent = stream.last() > 0 ? std::to_string(stream.last()) : "";
                request.id = name + "-again" + std::to_string(attempt);
                std::this_thread::sleep_for(answer.status > 200U ? pauseAfterRefusal : pauseBeforeTakeUp);
            }
            add(stream, mine, outcome);
        }

        void add(const JoinedStream& stream, const Outcome& mine, Outcome& outcome)
        {
            const std::lock_guard lock(mutex_);
            ++outcome.streams;
            outcome.complete += stream.complete() ? 1 : 0;
            outcome.broken += mine.broken;
            outcome.refused += mine.refused;
            outcome.takenUp += mine.takenUp;
            outcome.outOfOrder += stream.faults().empty() ? 0 : 1;
            outcome.faults.insert(outcome.faults.end(), stream.faults().begin(), stream.faults().end());
        }

        [[nodiscard]] static CallerRequest requestOf(const std::string& path, const std::string& name)
        {
            const auto part = static_cast<std::uint32_t>(std::hash<std::string> {}(name));
            return {
                .path = path, .id = name, .tokens = "12,280", .prefix = "5c1e07a2:8," + standins::toHex(part) + ":4"
            };
        }

        static void report(const Series& series, const Outcome& outcome)
        {
            std::cout << series.name << ": " << outcome.outOfOrder << " of " << outcome.streams
                      << " streams out of order, " << outcome.complete << " complete, " << outcome.broken
                      << " answers broken, " << outcome.resumed << " resumed inside (at most " << outcome.resumedMost
                      << " times in one), " << outcome.takenUp << " take-ups went on, " << outcome.refused
                      << " refusals" << std::endl;
        }

        static void expectOrder(const Outcome& outcome)
        {
            EXPECT_EQ(outcome.outOfOrder, 0U);
            for (const std::string& fault : outcome.faults) {
                ADD_FAILURE() << fault;
            }
        }

        /** Nearly all streams must come to their end, so that the order of something was checked. */
        static void expectOrderAndEnds(const Outcome& outcome)
        {
            expectOrder(outcome);
            EXPECT_GE(outcome.complete * 10, outcome.streams * 9);
        }

        /** The router loses its links to engines, and serves through its peers. */
        void makeRelayed(std::size_t router)
        {
            fleet_->cutFromEngines(router, "refuse");
            const auto until = steady_clock::now() + std::chrono::seconds(10);
            int number = 0;
            while (steady_clock::now() < until) {
                StreamCaller caller(fleet_->addressOf(router));
                if (caller.call(requestOf("/resumable/x", "probe-" + std::to_string(++number))).whole) {
                    return;
                }
                std::this_thread::sleep_for(milliseconds(50));
            }
            FAIL() << "router " << router << " does not serve through its peers";
        }

        /** Waits until the engines have started again this often in all. */
        void waitForCrashes(std::uint64_t count)
        {
            const auto until = steady_clock::now() + std::chrono::seconds(10);
            while (fleet_->crashes() < count && steady_clock::now() < until) {
                std::this_thread::sleep_for(milliseconds(5));
            }
        }

        void startAgain(std::size_t router)
        {
            fleet_->startRouter(router);
            ASSERT_TRUE(fleet_->waitForReadiness(router, 200));
        }

        std::filesystem::path folder_;
        std::unique_ptr<PlatformFleet> fleet_;
        std::mutex mutex_;
        std::mt19937_64 random_ { seed };
    };

    // Guards against pieces that are missing or come twice where the answer goes on at another engine, several times in
    // one stream, after its engine broke off within an event.
    TEST_F(StreamOrderTest, EnginesBreakOffWithinEvents)
    {
        EXPECT_GT(playUntilResumedOften("within", true, false).resumedMost, 1U);
    }

    // Guards against the same where engines break off between events, and by resets.
    TEST_F(StreamOrderTest, EnginesResetBetweenEvents)
    {
        EXPECT_GT(playUntilResumedOften("between", false, true).resumedMost, 1U);
    }

    // Guards against pieces of an engine that was silent, and sends again after its stream went on at another engine.
    TEST_F(StreamOrderTest, SilentEnginesSendAgain)
    {
        const Outcome outcome = play({ .name = "silent", .style = { .patience = milliseconds(300) } }, [this] {
            if (random(8) == 0) {
                fleet_->engine(random(modelEngines)).control({ { "silent_ms", 400 } });
            }
            breakOne(true, false);
        });
        expectOrderAndEnds(outcome);
        EXPECT_GT(outcome.resumed, 0U);
        EXPECT_GT(outcome.takenUp, 0U);
    }

    // Guards against pieces that were on a cut link and arrive after it has healed.
    TEST_F(StreamOrderTest, LinksAreCutAndHealed)
    {
        const std::vector<std::string> modes { "hang", "drop", "reset" };
        std::size_t turn = 0;
        const Series series { .name = "links", .streamsPerCaller = 3, .style = { .patience = milliseconds(300) } };
        const Outcome outcome = play(series, [&] {
            const std::size_t router = turn % routerCount;
            fleet_->cutFromEngines(router, modes[turn / routerCount % modes.size()]);
            std::this_thread::sleep_for(milliseconds(100 + random(350)));
            fleet_->healLinksToEngines(router);
            ++turn;
        });
        expectOrder(outcome);
        EXPECT_GT(outcome.takenUp, 0U);
    }

    // Guards against pieces that a killed router had received and not forwarded, after a take-up at another router.
    TEST_F(StreamOrderTest, RoutersAreKilled)
    {
        std::size_t kills = 0;
        const Outcome outcome = play({ .name = "killed" }, [&] {
            std::this_thread::sleep_for(milliseconds(100 + random(100)));
            const std::size_t router = kills++ % routerCount;
            fleet_->router(router).kill();
            startAgain(router);
        });
        expectOrder(outcome);
        EXPECT_GT(outcome.takenUp, 0U);
    }

    // Guards against the same at a router that stands still, and forwards after its callers have gone elsewhere, or
    // were about to.
    TEST_F(StreamOrderTest, RoutersStandStill)
    {
        constexpr double longPauseMs = 15;
        controlEngines({ { "between_events_ms", longPauseMs } });
        std::size_t stops = 0;
        const Series series { .name = "still", .style = { .patience = milliseconds(250) } };
        const Outcome outcome = play(series, [&] {
            std::this_thread::sleep_for(milliseconds(100 + random(200)));
            scenario::Process& router = fleet_->router(stops++ % routerCount);
            router.signal(SIGSTOP);
            std::this_thread::sleep_for(milliseconds(150 + random(250)));
            router.signal(SIGCONT);
        });
        expectOrder(outcome);
        EXPECT_GT(outcome.takenUp, 0U);
    }

    // Guards against pieces that are lost, or sent again, where much waits for a caller that reads slowly while engines
    // break off.
    TEST_F(StreamOrderTest, CallersReadSlowly)
    {
        constexpr std::uint64_t padding = 10'000;
        controlEngines({ { "event_padding", padding }, { "between_events_ms", 1 } });
        const ReadingStyle style { .readBytes = 12'000, .pause = milliseconds(12), .receiveBuffer = 8192 };
        const Outcome outcome = play({ .name = "slow", .style = style }, [this] { breakOne(true, random(2) == 0); });
        expectOrderAndEnds(outcome);
        EXPECT_GT(outcome.resumed, 0U);
    }

    // Guards against pieces of one stream in the next one on the same connection, also after a stream that went on at
    // another engine.
    TEST_F(StreamOrderTest, CallersKeepTheirConnections)
    {
        const Series series { .name = "kept",
            .streamsPerCaller = 4,
            .keepsConnection = true,
            .router = [](std::size_t caller, std::size_t) { return caller % routerCount; } };
        const Outcome outcome = play(series, [this] { breakOne(true, random(2) == 0); });
        expectOrderAndEnds(outcome);
        EXPECT_GT(outcome.resumed, 0U);
    }

    // Guards against pieces of two runs where two routers take the same stream up at once, and where what was taken up
    // is taken up again from an earlier piece.
    TEST_F(StreamOrderTest, TwoTakeUpsAtOnce)
    {
        constexpr std::size_t streamCount = 8;
        constexpr double shortPauseMs = 3;
        controlEngines({ { "between_events_ms", shortPauseMs } });
        Outcome outcome;
        for (std::size_t number = 0; number < streamCount; ++number) {
            const std::string name = "twins-" + std::to_string(number);
            CallerRequest first = requestOf("/resumable/x", name);
            controlEngines({ { "break_after", 10 }, { "half_event", true }, { "break_next", 4 } });
            StreamCaller caller(fleet_->addressOf(number % routerCount));
            JoinedStream begun(streamEvents);
            begun.add(caller.call(first), first.id);
            controlEngines({ { "break_after", 5 }, { "break_next", number % 2 } });
            std::vector<JoinedStream> twins(routerCount, begun);
            std::vector<std::thread> callers;
            for (std::size_t twin = 0; twin < twins.size(); ++twin) {
                callers.emplace_back([&, twin] {
                    CallerRequest request = first;
                    request.resumes = begun.last() > 0 ? first.id : "";
                    for (std::size_t attempt = 0; attempt < maxCallerAttempts && !twins[twin].complete(); ++attempt) {
                        request.id = first.id + "-" + std::to_string(twin) + "-" + std::to_string(attempt);
                        request.lastEvent = twins[twin].last() > 0 ? std::to_string(twins[twin].last()) : "";
                        StreamCaller again(fleet_->addressOf((twin + attempt) % routerCount));
                        twins[twin].add(again.call(request), request.id);
                        std::this_thread::sleep_for(pauseBeforeTakeUp);
                    }
                });
            }
            for (std::thread& twin : callers) {
                twin.join();
            }
            for (const JoinedStream& twin : twins) {
                Outcome mine;
                mine.takenUp = begun.last() > 0 ? 1 : 0;
                add(twin, mine, outcome);
            }
        }
        report({ .name = "twins" }, outcome);
        expectOrderAndEnds(outcome);
        EXPECT_GT(outcome.takenUp, 0U);
    }

    // Guards against pieces of an engine that ended and starts again at its address, under a new id or under its own.
    TEST_F(StreamOrderTest, EnginesStartAgain)
    {
        constexpr double downMs = 60;
        controlEngines({ { "crash_on", "/crash" }, { "down_ms", downMs } });
        std::size_t crashes = 0;
        playUntilTakenUp("again", [&] {
            const std::size_t engine = crashes++ % modelEngines;
            standins::HttpClient client(standins::parseEndpoint(fleet_->engine(engine).address()));
            static_cast<void>(client.call({ .body = "{}",
                .target = "/resumable/crash",
                .headers = { { "Request-Id", "crash" }, { "Token-Usage", "1,1" } } }));
            waitForCrashes(crashes);
            std::this_thread::sleep_for(milliseconds(100));
            if (crashes % 2 == 0) {
                fleet_->registerAs(engine, "i-" + std::to_string(engine), "v1");
            }
        });
    }

    // Guards against a part of a stream that looks complete, or goes on wrongly, because the peer that relays it is
    // killed.
    TEST_F(StreamOrderTest, RelaysAreKilled)
    {
        makeRelayed(0);
        std::size_t kills = 0;
        const Series series { .name = "relayed", .router = [](std::size_t, std::size_t) { return 0; } };
        const Outcome outcome = play(series, [&] {
            std::this_thread::sleep_for(milliseconds(100 + random(100)));
            const std::size_t relay = 1 + kills++ % (routerCount - 1);
            fleet_->router(relay).kill();
            startAgain(relay);
        });
        expectOrder(outcome);
        EXPECT_GT(outcome.broken + outcome.takenUp + outcome.resumed, 0U);
    }

    // Guards against the same where streams have no length and no chunks, and engines reset them.
    TEST_F(StreamOrderTest, RelayedStreamsWithoutChunksAreReset)
    {
        makeRelayed(0);
        controlEngines({ { "unframed", true } });
        const Series series { .name = "relayed-bare",
            .streamsPerCaller = 3,
            .path = "/stream/x",
            .takesUp = false,
            .router = [](std::size_t, std::size_t) { return 0; } };
        const Outcome outcome = play(series, [this] { breakOne(random(2) == 0, true); });
        expectOrder(outcome);
        EXPECT_GT(outcome.broken, 0U);
        EXPECT_GT(outcome.complete, 0U);
    }

    // Guards against streams that a planned stop cuts or lets look complete, at the callers' router or at a relay.
    TEST_F(StreamOrderTest, RoutersStopAsPlanned)
    {
        makeRelayed(0);
        constexpr double longPauseMs = 20;
        controlEngines({ { "between_events_ms", longPauseMs } });
        // A relay first, then the router that is relayed; the third one serves on.
        std::vector<std::size_t> toStop { 0, 1 };
        const Outcome outcome = play({ .name = "stopped" }, [&] {
            std::this_thread::sleep_for(milliseconds(200));
            if (!toStop.empty()) {
                fleet_->router(toStop.back()).signal(SIGTERM);
                toStop.pop_back();
            }
        });
        expectOrderAndEnds(outcome);
        EXPECT_EQ(outcome.broken, 0U);
    }

    // Guards against a part of a stream without length and chunks that looks complete to a caller of HTTP/1.0, where
    // its engine resets it at any event or within one.
    TEST_F(StreamOrderTest, BareStreamsAreResetForOldCallers)
    {
        controlEngines({ { "unframed", true } });
        const Series series {
            .name = "bare", .streamsPerCaller = 3, .path = "/stream/x", .takesUp = false, .style = { .oldHttp = true }
        };
        const Outcome outcome = play(series, [this] { breakOne(random(2) == 0, true); });
        expectOrder(outcome);
        EXPECT_GT(outcome.broken, 0U);
        EXPECT_GT(outcome.complete, 0U);
    }

    // Guards against the same where the stream may go on at another engine, and its router is killed.
    TEST_F(StreamOrderTest, BareStreamsOfKilledRoutersForOldCallers)
    {
        controlEngines({ { "unframed", true } });
        std::size_t kills = 0;
        const Series series { .name = "bare-killed", .style = { .oldHttp = true } };
        const Outcome outcome = play(series, [&] {
            breakOne(true, true);
            std::this_thread::sleep_for(milliseconds(100 + random(100)));
            const std::size_t router = kills++ % routerCount;
            fleet_->router(router).kill();
            startAgain(router);
        });
        expectOrder(outcome);
        EXPECT_GT(outcome.takenUp, 0U);
    }

} // namespace
} // namespace swiftlift::platform::test
