#include <gtest/gtest.h>
#include <sstream>
#include <thread>

#include "RunningService.h"
#include "engine/Answer.h"
#include "engine/EngineService.h"

namespace swiftlift::standins {

namespace {

    class EngineServiceTest : public testing::Test {
    protected:
        static HttpCall generateCall(const std::string& key, const std::string& prompt, int tokens, int from = 0)
        {
            const Json body { { "prompt", prompt }, { "max_tokens", tokens } };
            return { .body = body.dump(),
                .target = "/generate",
                .headers
                = { { "X-Request-Key", key }, { "X-Attempt-Id", "1" }, { "X-Resume-From", std::to_string(from) } } };
        }

        static HttpCall orderCall(int fencing)
        {
            return { .body = R"({"kind":"load_model","name":"m"})",
                .target = "/orders",
                .headers = { { "X-Fencing", std::to_string(fencing) } } };
        }

        static std::vector<Json> lines(const std::string& body)
        {
            std::vector<Json> parsed;
            std::istringstream text(body);
            for (std::string line; std::getline(text, line);) {
                parsed.push_back(Json::parse(line));
            }
            return parsed;
        }

        RunningService engine_ { std::make_unique<EngineService>(EngineSettings { .stepMs = 1, .loadMs = 1 }) };
    };

    TEST_F(EngineServiceTest, streamTokensOfPrompt)
    {
        const auto reply = engine_.client().call(generateCall("k", "hello len=3", 9));
        ASSERT_TRUE(reply);
        const auto got = lines(reply->body);
        ASSERT_EQ(got.size(), 4U);
        for (std::size_t index = 0; index < 3; ++index) {
            EXPECT_EQ(got[index].at("token"), answerToken("hello len=3", index));
            EXPECT_EQ(got[index].at("key"), "k");
        }
        EXPECT_EQ(got[3].at("answer_tokens"), 3);
        EXPECT_EQ(got[3].at("prompt_tokens"), 3);
        EXPECT_EQ(engine_.get()["keys"]["k"]["completed"], 1);
    }

    // Symptom: a caller gets half an answer. The engine's stream breaks off; the router resumes it where it stood.
    TEST_F(EngineServiceTest, resumeBrokenStream)
    {
        engine_.control({ { "fail_after_tokens", 2 }, { "count", 1 } });
        EXPECT_FALSE(engine_.client().call(generateCall("k", "p", 5)));
        const auto reply = engine_.client().call(generateCall("k", "p", 5, 2));
        ASSERT_TRUE(reply);
        const auto got = lines(reply->body);
        ASSERT_EQ(got.size(), 4U);
        EXPECT_EQ(got[0].at("token"), answerToken("p", 2));
        EXPECT_EQ(got[3].at("answer_tokens"), 5);
        const auto audit = engine_.get()["keys"]["k"];
        EXPECT_EQ(audit["started"], 2);
        EXPECT_EQ(audit["broken"], 1);
        EXPECT_EQ(audit["completed"], 1);
    }

    TEST_F(EngineServiceTest, crashTakesEverythingThatRunsAndComesBack)
    {
        engine_.control({ { "crash_on", "poison" }, { "down_ms", 200 } });
        auto other = engine_.client();
        ASSERT_TRUE(other.send(generateCall("long", "p", 1000000)));
        EXPECT_FALSE(other.receiveSome().empty());
        EXPECT_FALSE(engine_.client().call(generateCall("k", "poison in the thread", 5)));
        while (!other.receiveSome().empty()) { }
        const auto until = Clock::now() + std::chrono::seconds(60);
        auto reply = engine_.client().call(generateCall("after", "p", 2));
        for (; !reply && Clock::now() < until; reply = engine_.client().call(generateCall("after", "p", 2))) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        ASSERT_TRUE(reply);
        EXPECT_EQ(lines(reply->body).back().at("cached_prompt_tokens"), 0) << "its cache is empty";
        EXPECT_EQ(engine_.get()["crashes"], 1);
    }

    // Symptom: engines stay busy for callers who have gone. The caller closes its connection in the middle of a stream.
    TEST_F(EngineServiceTest, cancelWhenConnectionCloses)
    {
        auto caller = engine_.client();
        ASSERT_TRUE(caller.send(generateCall("k", "p", 1000000)));
        EXPECT_FALSE(caller.receiveSome().empty());
        caller.close();
        EXPECT_TRUE(engine_.waitForAudit(
            [](const Json& audit) { return audit["keys"]["k"]["cancelled"] == 1 && audit["load"]["running"] == 0; }));
    }

    // Symptom: a caller reads another one's tokens. A line of another request arrives in its stream.
    TEST_F(EngineServiceTest, mixInStrayLines)
    {
        engine_.control({ { "cross_lines", true } });
        const auto reply = engine_.client().call(generateCall("k", "p", 2));
        ASSERT_TRUE(reply);
        int own = 0;
        int strays = 0;
        for (const auto& line : lines(reply->body)) {
            const bool isOwn = line.at("key") == "k" && line.at("attempt") == "1";
            own += isOwn ? 1 : 0;
            strays += isOwn ? 0 : 1;
        }
        EXPECT_EQ(own, 3);
        EXPECT_EQ(strays, 3);
    }

    // Symptom: a model is unloaded by a router that no longer holds the lease. Its order was delayed on the way.
    TEST_F(EngineServiceTest, refuseStaleOrder)
    {
        EXPECT_EQ(engine_.client().call(orderCall(7))->status, 202U);
        const auto stale = engine_.client().call(orderCall(6));
        EXPECT_EQ(stale->status, 409U);
        EXPECT_EQ(Json::parse(stale->body).at("fencing"), 7);
        EXPECT_TRUE(engine_.waitForAudit([](const Json& audit) { return audit["orders"]["models"].size() == 1; }));
    }

    TEST_F(EngineServiceTest, takeStaleOrderUnchecked)
    {
        engine_.control({ { "check_fencing", false } });
        EXPECT_EQ(engine_.client().call(orderCall(7))->status, 202U);
        EXPECT_EQ(engine_.client().call(orderCall(6))->status, 202U);
        EXPECT_EQ(engine_.get()["orders"]["seen"][1]["stale"], true);
    }

    TEST_F(EngineServiceTest, takeNoNewWorkWhenLeaving)
    {
        auto caller = engine_.client();
        ASSERT_TRUE(caller.send(generateCall("running", "p", 200)));
        ASSERT_TRUE(engine_.waitForAudit([](const Json& audit) { return audit["keys"].contains("running"); }));
        engine_.control({ { "leaving", true } });
        EXPECT_EQ(engine_.client().call(generateCall("new", "p", 1))->status, 503U);
        EXPECT_TRUE(caller.receive());
        EXPECT_EQ(engine_.get("/load").at("leaving"), true);
    }

    TEST_F(EngineServiceTest, standStillWhileFrozen)
    {
        const auto begin = Clock::now();
        engine_.control({ { "freeze_ms", 200 } });
        ASSERT_TRUE(engine_.client().call(generateCall("k", "p", 1)));
        EXPECT_GE(Clock::now() - begin, std::chrono::milliseconds(200));
    }

    TEST_F(EngineServiceTest, reportLoadWithLag)
    {
        engine_.control({ { "load_lag_ms", 3600000 }, { "leaving", true } });
        EXPECT_EQ(engine_.get("/load").at("leaving"), false);
    }

    TEST(CacheEventsTest, leaveGapsAndLag)
    {
        CacheEvents lost(Milliseconds(0), 1, 1);
        lost.add("stored", 1);
        EXPECT_EQ(lost.read(0), Json({ { "next", 1 }, { "events", Json::array() } }));
        CacheEvents late(Milliseconds(3600000), 0, 1);
        late.add("stored", 1);
        EXPECT_EQ(late.read(0).at("next"), 0);
    }

} // namespace

} // namespace swiftlift::standins
