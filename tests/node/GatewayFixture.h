#pragma once

#include <string>

#include <gtest/gtest.h>

#include "node/GatewayWorld.h"

namespace swiftlift::node::testing {

/** A gateway that is ready. */
class GatewayTest : public ::testing::Test {
protected:
    void SetUp() override
    {
        world.settle();
        ASSERT_TRUE(world.ready());
    }

    [[nodiscard]] ProxyDispatch ordered(CallId call)
    {
        const auto order = world.orderOf(call);
        EXPECT_TRUE(order.has_value());
        return order.value_or(ProxyDispatch {});
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
