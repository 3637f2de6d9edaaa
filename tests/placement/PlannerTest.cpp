#include <gtest/gtest.h>

#include "placement/EngineWorld.h"

namespace swiftlift::placement::testing {
namespace {

    using Models = std::set<std::string>;
    constexpr auto load = OrderKind::LoadModel;
    constexpr auto unload = OrderKind::UnloadModel;

    TEST(PlannerTest, UnservedModelIsLoadedAtOnceOnTheLeastLoadedEngine)
    {
        EngineWorld world({ { "alpha" }, { "alpha" }, { "alpha" } });
        world.at(0).running = 4;
        world.at(1).running = 1;
        world.at(2).running = 3;
        world.run(5);
        ASSERT_TRUE(world.sent.empty());
        world.planner->onUnserved("beta", world.now);
        world.run(1);
        ASSERT_EQ(world.sent.size(), 1U);
        const Order& order = world.sent.front().second;
        EXPECT_EQ(order.backend, EngineWorld::backendId(1));
        EXPECT_EQ(order.urgency, Urgency::Urgent);
        EXPECT_EQ(order.reason, OrderReason::Unserved);
        EXPECT_EQ(order.unserved, 1U);
        EXPECT_EQ(toBody(order), R"({"kind":"load_model","name":"beta"})");
        world.run(30);
        EXPECT_EQ(world.orders(load).size(), 1U);
        EXPECT_EQ(world.copies("beta"), 1U);
    }

    TEST(PlannerTest, NothingIsOrderedDuringWarmUp)
    {
        EngineWorld world({ Models { "alpha" } });
        world.planner->onUnserved("beta", world.now);
        world.run(2);
        EXPECT_TRUE(world.sent.empty());
        world.run(2);
        EXPECT_EQ(world.orders(load, "beta").size(), 1U);
    }

    // The engines are full of models in use, and many requests for another model arrive. If room were made without
    // regard to the demand for the unloaded model, a service would lose its only engine and its requests would be
    // refused.
    TEST(PlannerTest, BurstOfDemandDoesNotUnloadALastCopyInUse)
    {
        EngineWorld world({ { "alpha", "beta" }, { "gamma", "alpha" } });
        world.at(0).running = 1;
        world.at(1).running = 1;
        world.run(200);
        for (int moment = 0; moment < 200; ++moment) {
            world.planner->onUnserved("delta", world.now);
            world.run(1);
            ASSERT_GE(world.copies("alpha"), 1U);
            ASSERT_EQ(world.copies("beta"), 1U);
            ASSERT_EQ(world.copies("gamma"), 1U);
        }
        // The second copy of alpha was unloaded to make room.
        EXPECT_EQ(world.copies("delta"), 1U);
        EXPECT_EQ(world.orders(unload).size(), 1U);
    }

    // One of two copies is to be unloaded. Before the order is carried out, the engine with the other copy fails. The
    // unload was safe when it was decided, but would now remove the last copy.
    TEST(PlannerTest, UnloadIsCancelledWhenTheEngineWithTheOtherCopyFails)
    {
        EngineWorld world({ { "alpha", "beta" }, { "alpha", "gamma" } });
        world.at(0).running = 1;
        world.at(1).running = 1;
        world.run(10);
        for (auto& [backend, engine] : world.engines) {
            engine.ignoresOrders = true;
        }
        world.planner->onUnserved("delta", world.now);
        world.run(1);
        ASSERT_EQ(world.orders(unload, "alpha").size(), 1U);
        const BackendId unloading = world.orders(unload).front().backend;
        for (auto& [backend, engine] : world.engines) {
            engine.ignoresOrders = false;
            engine.up = backend == unloading;
        }
        world.run(60);
        EXPECT_EQ(world.copies("alpha"), 1U);
        EXPECT_TRUE(world.orders(load, "delta").empty());
        world.planner->onUnserved("delta", world.now);
        world.run(1);
        ASSERT_EQ(world.planner->blocked().size(), 1U);
        EXPECT_EQ(world.planner->blocked().front().model, "delta");
    }

    TEST(PlannerTest, LastCopyWithoutDemandIsUnloadedToMakeRoom)
    {
        EngineWorld world({ Models { "alpha", "beta" } });
        world.run(100);
        world.planner->onUnserved("gamma", world.now);
        world.run(10);
        EXPECT_EQ(world.copies("gamma"), 1U);
        EXPECT_EQ(world.at(0).models.size(), 2U);
    }

    // Forty engines lose their models at once, and requests find no engine. If each load were ordered regardless of the
    // others, the weight store would be overloaded and every load slow.
    TEST(PlannerTest, LoadsStayWithinTheLimitsAndUrgentOnesComeFirst)
    {
        EngineWorld world(std::vector<std::set<std::string>>(40, { "alpha" }));
        world.run(5);
        for (auto& [backend, engine] : world.engines) {
            engine.models.clear();
            engine.running = 1;
            ++engine.generation;
        }
        std::size_t loadsOrdered = 0;
        for (int second = 0; second < 60; ++second) {
            world.planner->onUnserved("beta", world.now);
            world.run(1);
            ASSERT_LE(world.loading(), world.settings.maxLoadsInFlight);
            loadsOrdered = world.orders(load).size();
        }
        EXPECT_LE(loadsOrdered, world.settings.maxLoadsPerMinute);
        EXPECT_EQ(world.sent.front().second.urgency, Urgency::Urgent);
        EXPECT_GE(world.copies("beta"), 1U);
        EXPECT_GE(world.copies("alpha"), 1U);
        world.run(1200);
        EXPECT_EQ(world.copies("alpha"), 40U) << "every engine must get back the model it had";
    }

    TEST(PlannerTest, BusyModelIsLoadedOnOneMoreEngineAfterMinBusyTime)
    {
        EngineWorld world({ { "alpha" }, { "beta" } });
        world.at(0).running = 10;
        world.run(12);
        EXPECT_TRUE(world.orders(load).empty());
        world.run(8);
        ASSERT_EQ(world.orders(load, "alpha").size(), 1U);
        EXPECT_EQ(world.orders(load).front().urgency, Urgency::Convenient);
        EXPECT_EQ(world.copies("alpha"), 2U);
    }

    // The load oscillates around the limit every few seconds, between models that share full engines. If each swing
    // were taken for a trend, models would be moved all the time and engines would load instead of serving requests.
    TEST(PlannerTest, OscillatingLoadMovesNoModels)
    {
        EngineWorld world({ { "alpha", "beta" }, { "alpha", "beta" }, { "gamma", "delta" } });
        for (int swing = 0; swing < 120; ++swing) {
            world.at(0).running = swing % 2 == 0 ? 10 : 2;
            world.at(1).running = swing % 2 == 0 ? 10 : 2;
            world.at(2).running = swing % 2 == 0 ? 1 : 9;
            world.run(5);
        }
        EXPECT_TRUE(world.sent.empty());
    }

    // Two models are constantly nearly full, and the spare engine has room for only one. If the new copy of one model
    // could be unloaded to make room for the other, the two would displace each other for ever.
    TEST(PlannerTest, TwoBusyModelsDoNotDisplaceEachOther)
    {
        PlannerSettings settings;
        settings.maxModelsPerEngine = 1;
        EngineWorld world({ { "alpha" }, { "beta" }, {} }, settings);
        world.at(0).running = 10;
        world.at(1).running = 10;
        world.run(1200);
        EXPECT_EQ(world.orders(load).size(), 1U);
        EXPECT_TRUE(world.orders(unload).empty());
    }

    // The engine does not carry out the first orders but a later one. If an order were sent only once, the model would
    // never be loaded.
    TEST(PlannerTest, OrderIsSentAgainUntilReported)
    {
        EngineWorld world({ Models { "alpha" } });
        world.at(0).ignoresOrders = true;
        world.run(4);
        world.planner->onUnserved("beta", world.now);
        world.run(12);
        EXPECT_GE(world.sent.size(), 3U);
        EXPECT_EQ(world.orders(load).size(), 1U) << "an order sent again must count as one load";
        world.at(0).ignoresOrders = false;
        world.run(12);
        EXPECT_EQ(world.copies("beta"), 1U);
        const std::size_t sent = world.sent.size();
        world.run(60);
        EXPECT_EQ(world.sent.size(), sent);
    }

    TEST(PlannerTest, LoadThatAnEngineRefusesIsPlacedOnAnother)
    {
        EngineWorld world({ { "alpha" }, { "alpha" } });
        world.at(0).refuses = true;
        world.at(1).running = 5;
        world.run(4);
        for (int second = 0; second < 30; ++second) {
            world.planner->onUnserved("beta", world.now);
            world.run(1);
        }
        EXPECT_EQ(world.copies("beta"), 1U);
        EXPECT_TRUE(world.at(1).models.contains("beta"));
    }

    // After a change of holders, a late unload removes a model from an engine that ignores fencing numbers, and a late
    // load overfills another one. If the planner sent orders once without comparing reports with the desired state, the
    // engines would stay like that.
    TEST(PlannerTest, LateOrdersOfAFormerHolderAreUndone)
    {
        EngineWorld world({ { "alpha", "beta" }, { "alpha", "beta" } });
        world.at(0).running = 1;
        world.at(1).running = 1;
        world.run(10);
        world.replacePlanner();
        world.run(5);
        world.at(0).models.erase("alpha");
        world.run(15);
        EXPECT_TRUE(world.at(0).models.contains("alpha"));
        world.at(1).models.insert("gamma");
        world.run(5);
        EXPECT_EQ(world.at(1).models.size(), 2U) << "the overfull engine must unload a model that another engine keeps";
        world.run(60);
        EXPECT_GE(world.copies("alpha"), 1U);
        EXPECT_GE(world.copies("beta"), 1U);
    }

    // The holder fails while its load is in flight, and the load ends in the next lease term. A new holder that did not
    // adopt the reported models as its desired state would load the model again or unload it.
    TEST(PlannerTest, LoadOfAFormerHolderIsAdopted)
    {
        EngineWorld world({ { "alpha" }, { "alpha" } });
        world.loadTime = seconds(8);
        world.run(4);
        world.planner->onUnserved("beta", world.now);
        world.run(1);
        ASSERT_EQ(world.loading(), 1U);
        world.replacePlanner();
        world.run(120);
        EXPECT_EQ(world.copies("beta"), 1U);
        EXPECT_EQ(world.sent.size(), 1U);
    }

} // namespace
} // namespace swiftlift::placement::testing
