#include <gtest/gtest.h>

#include "placement/EngineWorld.h"

namespace swiftlift::placement::testing {
namespace {

    using Models = std::set<std::string>;
    constexpr auto load = OrderKind::LoadModel;
    constexpr auto unload = OrderKind::UnloadModel;

    TEST(PlannerTest, ModelThatNoEngineHasIsLoadedOnTheLeastLoadedAtOnce)
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
        EXPECT_EQ(order.backend, EngineWorld::nameOf(1));
        EXPECT_EQ(order.urgency, Urgency::Urgent);
        EXPECT_EQ(order.reason, OrderReason::Unserved);
        EXPECT_EQ(order.unserved, 1U);
        EXPECT_EQ(toBody(order), R"({"kind":"load_model","name":"beta"})");
        world.run(30);
        EXPECT_EQ(world.orders(load).size(), 1U);
        EXPECT_EQ(world.copies("beta"), 1U);
    }

    TEST(PlannerTest, NothingIsOrderedBeforeTheReportsAreIn)
    {
        EngineWorld world({ Models { "alpha" } });
        world.planner->onUnserved("beta", world.now);
        world.run(2);
        EXPECT_TRUE(world.sent.empty());
        world.run(2);
        EXPECT_EQ(world.orders(load, "beta").size(), 1U);
    }

    // Symptom: a service is refused everywhere because another's flood took its only engine.
    // Events: engines are full of models; requests for a new one flood in, while the old ones are in use.
    // Cause: making room without looking at who asks for what goes.
    TEST(PlannerTest, FloodOfDemandDoesNotUnloadALastCopyInUse)
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
        // The second copy of alpha made room.
        EXPECT_EQ(world.copies("delta"), 1U);
        EXPECT_EQ(world.orders(unload).size(), 1U);
    }

    // Symptom: as above, by an engine's death.
    // Events: one of two copies is to go; before the order, the engine with the other one dies.
    // Cause: an unload that was safe when it was decided and is not any more.
    TEST(PlannerTest, UnloadIsCancelledWhenTheOtherCopyDies)
    {
        EngineWorld world({ { "alpha", "beta" }, { "alpha", "gamma" } });
        world.at(0).running = 1;
        world.at(1).running = 1;
        world.run(10);
        for (auto& [backend, machine] : world.machines) {
            machine.deaf = true;
        }
        world.planner->onUnserved("delta", world.now);
        world.run(1);
        ASSERT_EQ(world.orders(unload, "alpha").size(), 1U);
        const BackendId loser = world.orders(unload).front().backend;
        for (auto& [backend, machine] : world.machines) {
            machine.deaf = false;
            machine.up = backend == loser;
        }
        world.run(60);
        EXPECT_EQ(world.copies("alpha"), 1U);
        EXPECT_TRUE(world.orders(load, "delta").empty());
        world.planner->onUnserved("delta", world.now);
        world.run(1);
        ASSERT_EQ(world.planner->blocked().size(), 1U);
        EXPECT_EQ(world.planner->blocked().front().model, "delta");
    }

    TEST(PlannerTest, LastCopyThatNobodyAsksForMakesRoom)
    {
        EngineWorld world({ Models { "alpha", "beta" } });
        world.run(100);
        world.planner->onUnserved("gamma", world.now);
        world.run(10);
        EXPECT_EQ(world.copies("gamma"), 1U);
        EXPECT_EQ(world.at(0).models.size(), 2U);
    }

    // Symptom: the weight store is overrun and every load is slow.
    // Events: forty engines lose their models at once, and requests find none.
    // Cause: each load ordered as if it were alone.
    TEST(PlannerTest, LoadsKeepTheWeightStoresRateAndUrgentOnesComeFirst)
    {
        EngineWorld world(std::vector<std::set<std::string>>(40, { "alpha" }));
        world.run(5);
        for (auto& [backend, machine] : world.machines) {
            machine.models.clear();
            machine.running = 1;
            ++machine.generation;
        }
        std::size_t inAMinute = 0;
        for (int second = 0; second < 60; ++second) {
            world.planner->onUnserved("beta", world.now);
            world.run(1);
            ASSERT_LE(world.loading(), world.settings.maxLoadsInFlight);
            inAMinute = world.orders(load).size();
        }
        EXPECT_LE(inAMinute, world.settings.maxLoadsPerMinute);
        EXPECT_EQ(world.sent.front().second.urgency, Urgency::Urgent);
        EXPECT_GE(world.copies("beta"), 1U);
        EXPECT_GE(world.copies("alpha"), 1U);
        world.run(1200);
        EXPECT_EQ(world.copies("alpha"), 40U) << "every engine gets back what it had";
    }

    TEST(PlannerTest, BusyModelGetsOneMoreEngineAfterAWhile)
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

    // Symptom: models come and go, and the engines load instead of answering.
    // Events: load swings about the limit every few seconds, between two models that share full engines.
    // Cause: each swing taken for a trend.
    TEST(PlannerTest, SwingingLoadMovesNoModels)
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

    // Symptom: two busy models push each other out of the spare engine for ever.
    // Events: both are steadily nearly full; the spare engine has room for one only.
    // Cause: making room for one from the other's new copy.
    TEST(PlannerTest, TwoBusyModelsDoNotPushEachOtherOut)
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

    // Symptom: a model stays away although it was ordered.
    // Events: the engine does not hear the order; it hears the next one.
    // Cause: an order given once.
    TEST(PlannerTest, OrderIsAssertedUntilReported)
    {
        EngineWorld world({ Models { "alpha" } });
        world.at(0).deaf = true;
        world.run(4);
        world.planner->onUnserved("beta", world.now);
        world.run(12);
        EXPECT_GE(world.sent.size(), 3U);
        EXPECT_EQ(world.orders(load).size(), 1U) << "one load of the rate";
        world.at(0).deaf = false;
        world.run(12);
        EXPECT_EQ(world.copies("beta"), 1U);
        const std::size_t sent = world.sent.size();
        world.run(60);
        EXPECT_EQ(world.sent.size(), sent);
    }

    TEST(PlannerTest, EngineThatRefusesIsGivenUpForAnother)
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

    // Symptom: an engine that ignores fencing numbers stays as a former holder's late orders left it.
    // Events: after the change of holders, a late unload takes a model away, and a late load overfills an engine.
    // Cause: orders given once, by whoever comes first.
    TEST(PlannerTest, LateOrdersOfAFormerHolderAreUndone)
    {
        EngineWorld world({ { "alpha", "beta" }, { "alpha", "beta" } });
        world.at(0).running = 1;
        world.at(1).running = 1;
        world.run(10);
        world.takeOver();
        world.run(5);
        world.at(0).models.erase("alpha");
        world.run(15);
        EXPECT_TRUE(world.at(0).models.contains("alpha"));
        world.at(1).models.insert("gamma");
        world.run(5);
        EXPECT_EQ(world.at(1).models.size(), 2U) << "overfull: one of its models that others keep went";
        world.run(60);
        EXPECT_GE(world.copies("alpha"), 1U);
        EXPECT_GE(world.copies("beta"), 1U);
    }

    // Symptom: a new holder loads again what is there already, or unloads what the last one loaded.
    // Events: the holder dies while its load is under way; the load ends in the next one's tenure.
    // Cause: a wished state that only its maker knows.
    TEST(PlannerTest, LoadOfAFormerHolderIsAdopted)
    {
        EngineWorld world({ { "alpha" }, { "alpha" } });
        world.loadTime = seconds(8);
        world.run(4);
        world.planner->onUnserved("beta", world.now);
        world.run(1);
        ASSERT_EQ(world.loading(), 1U);
        world.takeOver();
        world.run(120);
        EXPECT_EQ(world.copies("beta"), 1U);
        EXPECT_EQ(world.sent.size(), 1U);
    }

} // namespace
} // namespace swiftlift::placement::testing
