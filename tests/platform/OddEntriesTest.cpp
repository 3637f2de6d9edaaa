#include <chrono>
#include <csignal>
#include <filesystem>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "LogLines.h"
#include "platform/PlatformFleet.h"

namespace swiftlift::platform::test {
namespace {

    using nlohmann::json;
    using std::chrono::milliseconds;

    /** Longest time until the routers have read a record: a poll, and the pause between two of them. */
    constexpr milliseconds readTime { 1200 };
    constexpr std::size_t modelEngines = 2;
    /** Three plain engines: the first one leaves, the last one is new. The second one stays. */
    constexpr std::size_t leavingEngine = modelEngines;
    constexpr std::size_t stayingEngine = modelEngines + 1;
    constexpr std::size_t newEngine = modelEngines + 2;
    constexpr int requestsPerRouter = 20;
    constexpr std::size_t nesting = 100'000;
    /** A service of no route: an entry that may be accepted names it, and gets no requests. */
    constexpr const char* otherService = R"("elsewhere")";
    /** Largest record that the platform's store accepts, in bytes. */
    constexpr std::size_t maxRecordBytes = 262'144;

    /** @return JSON of lists within lists. */
    std::string nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

    /** Two routers, with two of the plain engines; the third one is registered by the tests. */
    class OddEntriesTest : public testing::Test {
    protected:
        void SetUp() override
        {
            folder_ = std::filesystem::temp_directory_path() / ("swiftlift-odd-" + std::to_string(::getpid()));
            fleet_ = std::make_unique<PlatformFleet>(
                SWIFTLIFT_ROUTER, folder_, 10'000'000, FleetSize { 2, modelEngines, 3 });
            fleet_->unregisterEngine(newEngine);
            ASSERT_TRUE(fleet_->start());
            fleet_->unregisterEngine(newEngine);
            notePids();
        }

        void TearDown() override
        {
            fleet_.reset();
            std::filesystem::remove_all(folder_);
        }

        void notePids()
        {
            pids_.clear();
            for (std::size_t router = 0; router < fleet_->routers(); ++router) {
                pids_.push_back(fleet_->router(router).pid());
            }
        }

        /** @return A plain engine's entry with these fields as JSON texts; empty: without the field. */
        [[nodiscard]] std::string entryWith(const std::map<std::string, std::string>& fields) const
        {
            json entry = fleet_->entryOf(stayingEngine, "ready");
            for (const auto& [field, text] : fields) {
                entry.erase(field);
            }
            std::string whole = entry.dump();
            for (const auto& [field, text] : fields) {
                if (!text.empty()) {
                    whole.insert(whole.size() - 1, std::string(",\"").append(field).append("\":").append(text));
                }
            }
            return whole;
        }

        /** Checks that both routers run, in the processes in which they were started, and are ready. */
        void expectRunning()
        {
            for (std::size_t router = 0; router < fleet_->routers(); ++router) {
                EXPECT_TRUE(fleet_->router(router).running()) << "router " << router << " has ended";
                EXPECT_EQ(fleet_->router(router).pid(), pids_.at(router));
                EXPECT_EQ(fleet_->readiness(router), 200U);
            }
        }

        /** Sends requests to both routers, and checks that all are answered. @return The answers with their number. */
        std::map<std::string, int> sendToAll()
        {
            std::map<std::string, int> answers;
            for (std::size_t router = 0; router < fleet_->routers(); ++router) {
                for (int number = 0; number < requestsPerRouter; ++number) {
                    const CallerAnswer answer
                        = fleet_->send(router, { .id = "odd-" + std::to_string(++requestCount_) });
                    EXPECT_EQ(answer.status, 200U) << "router " << router << ": " << answer.body;
                    ++answers[answer.body];
                }
                const CallerAnswer stream = fleet_->send(
                    router, { .path = "/stream/x", .id = "odd-" + std::to_string(++requestCount_), .tokens = "12,35" });
                EXPECT_EQ(stream.status, 200U) << "router " << router << ": " << stream.body;
            }
            return answers;
        }

        [[nodiscard]] static std::string answerOf(std::size_t engine)
        {
            return "served by i-" + std::to_string(engine);
        }

        /** Checks that routers go on reading entries: an engine that leaves and one that is new are noticed. */
        void expectFollowing()
        {
            fleet_->registerEngine(leavingEngine, "draining");
            fleet_->registerEngine(newEngine, "ready");
            std::this_thread::sleep_for(readTime);
            expectRunning();
            const std::map<std::string, int> answers = sendToAll();
            EXPECT_FALSE(answers.contains(answerOf(leavingEngine))) << "the leaving engine gets requests";
            EXPECT_TRUE(answers.contains(answerOf(newEngine))) << "the new engine gets none";
            fleet_->registerEngine(leavingEngine, "ready");
            fleet_->unregisterEngine(newEngine);
        }

        /** Checks routers that run while the records are written, and routers that start with all of them in place. */
        void expectServing()
        {
            std::this_thread::sleep_for(readTime);
            sendToAll();
            expectFollowing();
            ASSERT_TRUE(fleet_->restartRouters());
            notePids();
            expectFollowing();
        }

        /** @return Keys of the `unreadable` lines of the router's log. */
        [[nodiscard]] std::set<std::string> unreadableKeys(std::size_t router)
        {
            std::set<std::string> keys;
            for (const json& line : scenario::linesOfKinds(fleet_->router(router).printed(), { "unreadable" })) {
                keys.insert(line.value("key", ""));
            }
            return keys;
        }

        std::filesystem::path folder_;
        std::unique_ptr<PlatformFleet> fleet_;
        std::vector<pid_t> pids_;
        int requestCount_ = 0;
    };

    // Guards against routers that end, or stop following the entries, because of an entry whose fields hold what no
    // engine writes: deep nesting, numbers beyond their type, values of another kind.
    TEST_F(OddEntriesTest, OddFieldsOfForeignEntries)
    {
        const std::string deep = nested(nesting);
        const std::vector<std::string> values { "1e999", "1e12", "18446744073709551615", "18446744073709551616",
            "4294967297", "0", "-1", "1.5", "-1e999", "\"4\"", "null", deep };
        int key = 0;
        const auto put
            = [&](const std::string& value) { fleet_->putForeignEntry("x-" + std::to_string(++key), value); };
        for (const char* field : { "slots", "warmup_left_ms", "born", "sequence", "version", "zone" }) {
            for (const std::string& value : values) {
                put(entryWith({ { "backend", otherService }, { field, value } }));
            }
        }
        for (const std::string& whole : { deep, std::string(nesting, '['), std::string(nesting, '{'), std::string("{"),
                 std::string("\xff\xfe"), std::string("1e999"), std::string("null"), std::string("\"") }) {
            put(whole);
        }
        put(entryWith({ { "state", deep } }));
        put(entryWith({ { "slots", "1e999" } }));
        put(entryWith({ { "slots", "-1" } }));
        expectServing();
    }

    // Guards against routers that run out of time or memory over entries as large as the store accepts.
    TEST_F(OddEntriesTest, HundredsOfLargeEntries)
    {
        constexpr int largeEntries = 200;
        for (int number = 0; number < largeEntries; ++number) {
            const std::string key = "large-" + std::to_string(number);
            const std::size_t maxValueBytes = maxRecordBytes - key.size() - 1;
            const std::string filler = '"' + std::string(maxValueBytes / 2, 'f') + '"';
            fleet_->putForeignEntry(key,
                number % 2 == 0 ? std::string(maxValueBytes, '[')
                                : entryWith({ { "backend", otherService }, { "filler", filler } }));
        }
        expectServing();
    }

    // Guards against requests to a server whose address can't be connected to: they fail, and a router that can't reach
    // several servers of a domain takes its own links for lost.
    TEST_F(OddEntriesTest, AddressesThatCannotBeConnectedTo)
    {
        const std::vector<std::string> addresses { R"("127.0.0.1:65536")", R"("127.0.0.1:1e20")", R"("127.0.0.1:0")",
            R"("127.0.0.1:-1")", R"("127.0.0.1")", R"("127.0.0.1:")", R"("")", R"("letters:80")", R"("[::1]:80")",
            R"("0.0.0.0:80")", R"("255.255.255.255:80")", "" };
        std::set<std::string> keys;
        for (std::size_t index = 0; index < addresses.size(); ++index) {
            keys.insert("x-" + std::to_string(index));
            fleet_->putForeignEntry("x-" + std::to_string(index), entryWith({ { "address", addresses[index] } }));
        }
        std::this_thread::sleep_for(readTime);
        sendToAll();
        for (std::size_t router = 0; router < fleet_->routers(); ++router) {
            EXPECT_EQ(unreadableKeys(router), keys) << "router " << router;
        }
        expectFollowing();
    }

    // Guards against a router that keeps an engine for ever, or loses it, once its entry can't be read for a while.
    TEST_F(OddEntriesTest, EntryOfAKnownEngineTurnsOdd)
    {
        const std::string leaving = "i-" + std::to_string(leavingEngine);
        const std::string odd = entryWith({ { "address", R"("127.0.0.1:65536")" } });
        fleet_->putForeignEntry(leaving, odd);
        std::this_thread::sleep_for(readTime);
        EXPECT_TRUE(sendToAll().contains(answerOf(leavingEngine))) << "the last good entry is in force";
        expectFollowing();
        std::this_thread::sleep_for(readTime);
        fleet_->putForeignEntry(leaving, odd);
        std::this_thread::sleep_for(readTime);
        fleet_->unregisterEngine(leavingEngine);
        std::this_thread::sleep_for(readTime);
        EXPECT_FALSE(sendToAll().contains(answerOf(leavingEngine))) << "an engine whose entry is deleted gets requests";
        expectRunning();
    }

    // Guards against routers that end, or can't read the list of entries when they start, because of an entry's key. It
    // is sent to engines in a header, to peers and to the log, and JSON has no form for bytes that aren't text.
    TEST_F(OddEntriesTest, OddKeysOfForeignEntries)
    {
        constexpr std::size_t maxKeyBytes = 255;
        const std::string valid = entryWith({});
        for (const std::string& key : { std::string("\xff\xfe"), std::string("\xed\xa0\x80"), std::string("\0", 1),
                 std::string(maxKeyBytes, '\xff'), std::string("x\r\nTenant: other"), std::string(" "),
                 std::string() }) {
            fleet_->putForeignEntry(key, valid);
        }
        const std::string elsewhere = entryWith({ { "backend", otherService } });
        for (const std::string& key : { std::string(maxKeyBytes, 'k'), std::string("a/b/../c"), std::string("\"\\") }) {
            fleet_->putForeignEntry(key, elsewhere);
        }
        std::this_thread::sleep_for(readTime);
        sendToAll();
        for (const char* form : { "raw", "escaped" }) {
            fleet_->store().control({ { "odd_keys", form } });
            ASSERT_TRUE(fleet_->restartRouters()) << form;
            notePids();
            expectFollowing();
        }
    }

    // Guards against a router that ends because another writer's record of a VM has a field of another kind.
    TEST_F(OddEntriesTest, OddRecordsOfVms)
    {
        int key = 0;
        for (const std::string& value : { std::string(R"({"domain":"regina-a","region":5})"),
                 std::string(R"({"domain":"regina-a","region":null})"), std::string(R"({"domain":[],"region":""})"),
                 std::string("[]"), std::string("{"), std::string("\xff"), nested(nesting) }) {
            fleet_->putForeignRecord("keyed.vms", "127.0.0.9:" + std::to_string(++key), value);
        }
        // The routers read the list of VMs every three seconds.
        std::this_thread::sleep_for(milliseconds(4000));
        expectRunning();
        sendToAll();
    }

} // namespace
} // namespace swiftlift::platform::test
