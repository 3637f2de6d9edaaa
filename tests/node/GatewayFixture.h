#pragma once

#include <string>

#include <gtest/gtest.h>

#include "node/GatewayWorld.h"

namespace swiftlift::node::testing {

/** Tests of a gateway that is ready. */
class GatewayTest : public ::testing::Test {
protected:
    void SetUp() override
    {
        world.becomeReady();
        ASSERT_TRUE(world.ready());
    }

    [[nodiscard]] ProxyDispatch dispatched(CallId call)
    {
        const auto dispatch = world.dispatchOf(call);
        EXPECT_TRUE(dispatch.has_value());
        return dispatch.value_or(ProxyDispatch {});
    }

    void expectRefused(CallId call, int status, const std::string& reason)
    {
        const auto reply = world.replyOf(call);
        ASSERT_TRUE(reply.has_value());
        EXPECT_EQ(reply->status, status);
        EXPECT_EQ(reply->reason, reason);
    }

    GatewayWorld world;
};

} // namespace swiftlift::node::testing
