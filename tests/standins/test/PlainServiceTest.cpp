#include <gtest/gtest.h>

#include "RunningService.h"
#include "plain/PlainService.h"
#include "vmlist/VmListService.h"

namespace swiftlift::standins {

namespace {

    class PlainServiceTest : public testing::Test {
    protected:
        std::optional<HttpReply> call(const std::string& key) const
        {
            return plain_.client().call({ .body = R"({"order":1})",
                .target = "/call",
                .headers = { { "X-Request-Key", key }, { "X-Attempt-Id", "1" } } });
        }

        RunningService plain_ { std::make_unique<PlainService>(PlainSettings { .callMs = 1 }) };
    };

    // Symptom: an order is placed twice. The service runs the call, the connection breaks before the answer, and the
    // router calls again. Cause: no answer was read as not run.
    TEST_F(PlainServiceTest, countRunsBehindBrokenAnswers)
    {
        plain_.control({ { "break_after_effect", 1 } });
        EXPECT_FALSE(call("k"));
        EXPECT_TRUE(call("k"));
        EXPECT_TRUE(call("other"));
        const auto audit = plain_.get();
        EXPECT_EQ(audit["keys"]["k"]["ran"], 2);
        EXPECT_EQ(audit["keys"]["k"]["answered"], 1);
        EXPECT_EQ(audit["order"], Json({ "k", "k", "other" }));
    }

    TEST_F(PlainServiceTest, runNothingWhenRefusing)
    {
        plain_.control({ { "refuse", true } });
        EXPECT_EQ(call("k")->status, 429U);
        plain_.control({ { "refuse", false }, { "leaving", true } });
        EXPECT_EQ(call("k")->status, 503U);
        EXPECT_TRUE(plain_.get()["keys"].empty());
    }

    TEST(VmListServiceTest, showListWithLag)
    {
        const RunningService list(std::make_unique<VmListService>(Milliseconds(0)));
        const Json vm { { "peer", "127.0.1.1:7400" }, { "domain", "d" }, { "region", "r" }, { "state", "leaving" } };
        list.control({ { "set", Json::array({ vm }) } });
        EXPECT_EQ(list.get("/vms").at("vms").at(0), vm);
        list.control({ { "lag_ms", 3600000 } });
        list.control({ { "set", Json::array() } });
        EXPECT_EQ(list.get("/vms").at("vms").at(0), vm);
        EXPECT_TRUE(list.get().at("vms").empty());
        list.control({ { "outage", true } });
        EXPECT_EQ(list.client().call({ .body = {}, .target = "/vms", .headers = {} })->status, 503U);
    }

} // namespace

} // namespace swiftlift::standins
