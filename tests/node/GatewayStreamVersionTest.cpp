#include <map>
#include <string>
#include <vector>

#include "node/GatewayFixture.h"

namespace swiftlift::node::testing {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /** Servers of the versions v1, v2 and v1, in the order in which they are chosen; three other VMs are registered. */
    class GatewayStreamVersionTest : public GatewayTest {
    protected:
        void SetUp() override
        {
            GatewayTest::SetUp();
            world.registerVms({ "127.0.0.1:7400", "127.0.0.1:7401", "127.0.0.1:7402", "127.0.0.1:7403" });
            for (const char* version : { "v1", "v2", "v1" }) {
                const ProxyDispatch next = dispatched(world.arrive("/resumable/x"));
                world.end(next, ProxyAttemptEnd::Completed, 200, 4);
                order_.push_back(next.backend);
                versions_[next.backend] = version;
                world.dropServer(next.backend.value());
            }
            for (const BackendId& server : order_) {
                put(server);
            }
            world.run(milliseconds(200));
        }

        void put(const BackendId& server)
        {
            world.putServer(server.value(), "model", "a", fleet::ServerState::Ready, 0, {}, versions_.at(server));
        }

        /** A stream begins at a server and is cut after two events. */
        [[nodiscard]] ProxyDispatch beginStream()
        {
            const ProxyDispatch first = dispatched(world.arrive("/resumable/x"));
            world.progress(first, 2);
            return first;
        }

        /** Peers answer the question for a stream's version. @return Number of peers that were asked. */
        std::size_t answerPeers(const StreamId& stream, const std::optional<SoftwareVersion>& version)
        {
            std::size_t asked = 0;
            for (const auto& [peer, ask] : world.sent<StreamVersionAsk>()) {
                if (ask.stream == stream) {
                    ++asked;
                    world.handle(
                        PeerReceived { Incarnation { 70 + asked }, peer, StreamVersionAnswer { stream, version } });
                }
            }
            return asked;
        }

        /** The servers in the order in which they are chosen. */
        std::vector<BackendId> order_;
        std::map<BackendId, std::string> versions_;
    };

    // Guards against an answer that mixes events of two versions: the router goes on at any other server.
    TEST_F(GatewayStreamVersionTest, AnswerGoesOnOnlyAtTheVersionThatBeganIt)
    {
        const ProxyDispatch first = beginStream();
        ASSERT_EQ(first.backend, order_[0]);
        world.end(first, ProxyAttemptEnd::Broken, 200, 2);
        EXPECT_EQ(dispatched(first.call).backend, order_[2]);
    }

    // Guards against an answer that goes on at another version because no server of its own is left.
    TEST_F(GatewayStreamVersionTest, AnswerEndsWhenNoOtherServerOfItsVersionIsLeft)
    {
        world.dropServer(order_[2].value());
        const ProxyDispatch first = beginStream();
        world.end(first, ProxyAttemptEnd::Broken, 200, 2);
        EXPECT_FALSE(world.dispatchOf(first.call));
        EXPECT_TRUE(world.replyOf(first.call));
    }

    // Guards against a mixed stream over two attempts of its caller at one router.
    TEST_F(GatewayStreamVersionTest, TakeUpAtTheSameRouterGoesToItsVersion)
    {
        const ProxyDispatch first = beginStream();
        world.handle(ProxyRequestAbandoned { first.call, 2 });
        world.dropServer(first.backend.value());
        const CallId second = world.takeUp("/resumable/x", world.requestIdOf(first.call));
        EXPECT_EQ(dispatched(second).backend, order_[2]);
    }

    // Guards against a server's address or id that is used again by a server of another version.
    TEST_F(GatewayStreamVersionTest, ServerThatStartsAgainAtAnotherVersionDoesNotGoOn)
    {
        const ProxyDispatch first = beginStream();
        world.handle(ProxyRequestAbandoned { first.call, 2 });
        world.dropServer(order_[2].value());
        world.putServer(first.backend.value(), "model", "a", fleet::ServerState::Ready, 2000, {}, "v2");
        expectRefused(world.takeUp("/resumable/x", world.requestIdOf(first.call)), 503, "version_gone");
    }

    // Guards against a mixed stream that was begun at a router that is gone: its keepers know the version.
    TEST_F(GatewayStreamVersionTest, TakeUpOfAnotherRoutersStreamGoesToItsVersion)
    {
        for (int number = 0; number < 20; ++number) {
            const StreamId stream { "elsewhere-" + std::to_string(number) };
            const CallId call = world.takeUp("/resumable/x", stream.value());
            EXPECT_FALSE(world.dispatchOf(call)) << "the version is not known yet";
            EXPECT_EQ(answerPeers(stream, SoftwareVersion("v2")), 3U);
            const auto dispatch = world.dispatchOf(call);
            ASSERT_TRUE(dispatch);
            EXPECT_EQ(dispatch->backend, order_[1]);
            world.end(*dispatch, ProxyAttemptEnd::Completed, 200, 4);
        }
    }

    // Guards against a mixed stream whose version nobody knows any more, and against a caller that waits for it.
    TEST_F(GatewayStreamVersionTest, StreamThatNobodyKnowsIsRefusedAsNotRun)
    {
        const CallId asked = world.takeUp("/resumable/x", "unknown");
        answerPeers(StreamId("unknown"), std::nullopt);
        expectRefused(asked, 503, "stream_unknown");
        const CallId unanswered = world.takeUp("/resumable/x", "silence");
        world.run(milliseconds(250));
        expectRefused(unanswered, 503, "stream_unknown");
        EXPECT_EQ(world.replyOf(unanswered)->outcome, Outcome::NotRun);
        EXPECT_TRUE(world.replyOf(unanswered)->retryAfter);
    }

    // Guards against a stream that waits, or is mixed, once the last server of its version is gone.
    TEST_F(GatewayStreamVersionTest, StreamWhoseVersionIsGoneIsRefusedAtOnce)
    {
        const CallId call = world.takeUp("/resumable/x", "old");
        answerPeers(StreamId("old"), SoftwareVersion("v0"));
        expectRefused(call, 503, "version_gone");
        EXPECT_EQ(world.replyOf(call)->outcome, Outcome::NotRun);
    }

    // Guards against a mixed stream of a caller that does not say which attempt began it.
    TEST_F(GatewayStreamVersionTest, TakeUpWithoutTheFirstAttemptsIdIsRefusedWhileThereAreSeveralVersions)
    {
        expectRefused(world.takeUp("/resumable/x", ""), 503, "stream_unknown");
    }

    // Guards against streams that only a dead router knew.
    TEST_F(GatewayStreamVersionTest, KeepersAreToldOfStreamsOnceThereAreSeveralVersions)
    {
        const ProxyDispatch first = beginStream();
        world.run(milliseconds(100));
        const auto told = world.sent<StreamsBegan>();
        ASSERT_GE(told.size(), 1U);
        const auto& [stream, version] = told.back().second.streams.back();
        EXPECT_EQ(stream, StreamId(world.requestIdOf(first.call)));
        EXPECT_EQ(version.value(), versions_.at(first.backend));
    }

    TEST_F(GatewayStreamVersionTest, KeeperAnswersWhatItWasTold)
    {
        const PeerAddress peer { "127.0.0.1:7401" };
        world.handle(
            PeerReceived { Incarnation { 9 }, peer, StreamsBegan { { { StreamId("s"), SoftwareVersion("v2") } } } });
        world.handle(PeerReceived {
            Incarnation { 9 }, peer, StreamVersionAsk { ServiceName("model"), StreamId("s"), seconds(5) } });
        world.handle(PeerReceived {
            Incarnation { 9 }, peer, StreamVersionAsk { ServiceName("model"), StreamId("t"), seconds(5) } });
        const auto answers = world.sent<StreamVersionAnswer>();
        ASSERT_EQ(answers.size(), 2U);
        EXPECT_EQ(answers[0].second.version, SoftwareVersion("v2"));
        EXPECT_FALSE(answers[1].second.version);
    }

    // Guards against refusals where there is nothing to mix, and messages for each stream there.
    TEST_F(GatewayTest, StreamsOfTheOnlyVersionGoOnWithoutAnyKnowledgeOfThem)
    {
        world.run(seconds(40));
        const CallId call = world.takeUp("/resumable/x", "elsewhere");
        EXPECT_TRUE(world.dispatchOf(call));
        world.progress(dispatched(world.arrive("/resumable/x")), 2);
        world.run(milliseconds(200));
        EXPECT_TRUE(world.sent<StreamsBegan>().empty());
    }

} // namespace
} // namespace swiftlift::node::testing
