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
                    world.handle(PeerReceived {
                        Incarnation { 70 + asked }, peer, StreamVersionAnswer { ask.search, version, true } });
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
            Incarnation { 9 }, peer, StreamVersionAsk { 1, ServiceName("model"), StreamId("s"), seconds(5) } });
        world.handle(PeerReceived {
            Incarnation { 9 }, peer, StreamVersionAsk { 1, ServiceName("model"), StreamId("t"), seconds(5) } });
        const auto answers = world.sent<StreamVersionAnswer>();
        ASSERT_EQ(answers.size(), 2U);
        EXPECT_EQ(answers[0].second.version, SoftwareVersion("v2"));
        EXPECT_FALSE(answers[1].second.version);
    }

    // Guards against a mixed stream at a router that has missed a version: a peer that has missed it as well answers
    // faster than the one that remembers the stream.
    TEST_F(GatewayStreamVersionTest, GuessOfAPeerDoesNotBeatAMemory)
    {
        const StreamId stream { "elsewhere" };
        const CallId call = world.takeUp("/resumable/x", stream.value());
        const auto asked = world.sent<StreamVersionAsk>();
        ASSERT_EQ(asked.size(), 3U);
        world.handle(PeerReceived { Incarnation { 71 }, asked[0].first,
            StreamVersionAnswer { asked[0].second.search, SoftwareVersion("v1"), false } });
        EXPECT_FALSE(world.dispatchOf(call));
        world.handle(PeerReceived { Incarnation { 72 }, asked[1].first,
            StreamVersionAnswer { asked[1].second.search, SoftwareVersion("v2"), true } });
        EXPECT_EQ(dispatched(call).backend, order_[1]);
    }

    // Guards against a mixed stream at a router that has seen several versions, beside a peer that has seen one.
    TEST_F(GatewayStreamVersionTest, GuessIsNotTakenByARouterThatKnowsSeveralVersions)
    {
        for (const bool reachable : { true, false }) {
            world.logReachable = reachable;
            world.run(milliseconds(100));
            const std::size_t askedBefore = world.sent<StreamVersionAsk>().size();
            const CallId call = world.takeUp("/resumable/x", "elsewhere");
            const auto asked = world.sent<StreamVersionAsk>();
            ASSERT_GT(asked.size(), askedBefore);
            const auto& [peer, ask] = asked[askedBefore];
            world.handle(PeerReceived {
                Incarnation { 71 }, peer, StreamVersionAnswer { ask.search, SoftwareVersion("v1"), false } });
            world.run(milliseconds(300));
            EXPECT_FALSE(world.dispatchOf(call));
        }
    }

    /** All servers are of v1; three other VMs are registered. */
    class GatewayOnlyVersionTest : public GatewayTest {
    protected:
        void SetUp() override
        {
            GatewayTest::SetUp();
            world.registerVms({ "127.0.0.1:7400", "127.0.0.1:7401", "127.0.0.1:7402", "127.0.0.1:7403" });
            world.run(milliseconds(200));
        }

        /** The log turns the router away, and it has noticed that. */
        void loseLog()
        {
            world.logReachable = false;
            world.run(milliseconds(100));
        }

        /** A caller takes the stream up, and is refused within this time because nobody knows its version. */
        void expectUnknownWithin(Duration time)
        {
            const CallId call = world.takeUp("/resumable/x", stream_.value());
            world.run(time);
            expectRefused(call, 503, "stream_unknown");
        }

        /** The peer with this number among those that were asked infers this version. */
        void inferAt(std::size_t peer, const std::string& version)
        {
            const auto [address, ask] = world.sent<StreamVersionAsk>().at(peer);
            world.handle(PeerReceived {
                Incarnation { 71 }, address, StreamVersionAnswer { ask.search, SoftwareVersion(version), false } });
        }

        const StreamId stream_ { "elsewhere" };
    };

    // Guards against a mixed stream at a router whose list of servers is outdated, whatever it believes of the log.
    TEST_F(GatewayOnlyVersionTest, OnlyVersionOfAnOutdatedListIsNotTaken)
    {
        world.unreadEntries = 1;
        const CallId call = world.takeUp("/resumable/x", stream_.value());
        EXPECT_FALSE(world.dispatchOf(call));
        world.putServer("m-new", "model", "a", fleet::ServerState::Ready, 0, {}, "v2");
        world.run(milliseconds(800));
        expectRefused(call, 503, "stream_unknown");
    }

    // Guards against refusals by a router that has read the rest of the list since.
    TEST_F(GatewayOnlyVersionTest, OnlyVersionIsTakenOnceTheListIsComplete)
    {
        world.unreadEntries = 1;
        const CallId call = world.takeUp("/resumable/x", stream_.value());
        EXPECT_FALSE(world.dispatchOf(call));
        world.putServer("m-new", "model", "a");
        EXPECT_FALSE(world.replyOf(call));
        world.run(milliseconds(80));
        EXPECT_TRUE(world.dispatchOf(call));
    }

    // Guards against a mixed stream, and against a caller that waits, while reads of the log hang.
    TEST_F(GatewayOnlyVersionTest, StreamIsRefusedWhileTheLogIsSilent)
    {
        world.logAnswers = false;
        const CallId call = world.takeUp("/resumable/x", stream_.value());
        world.run(milliseconds(750));
        expectRefused(call, 503, "stream_unknown");
        EXPECT_EQ(world.replyOf(call)->outcome, Outcome::NotRun);
    }

    // Guards against a mixed stream at a router that reaches neither the log nor any peer, and serves its callers.
    TEST_F(GatewayOnlyVersionTest, StreamIsRefusedByARouterThatIsCutOffFromAll)
    {
        loseLog();
        expectUnknownWithin(milliseconds(200));
    }

    // Guards against refusals by a router that the log turns away while peers reach it.
    TEST_F(GatewayOnlyVersionTest, PeerThatReachesTheLogKnowsTheOnlyVersion)
    {
        loseLog();
        const CallId call = world.takeUp("/resumable/x", stream_.value());
        const auto asked = world.sent<StreamVersionAsk>();
        ASSERT_EQ(asked.size(), 3U);
        EXPECT_TRUE(asked[0].second.infer);
        inferAt(0, "v1");
        world.run(milliseconds(200));
        EXPECT_TRUE(world.dispatchOf(call));
    }

    // Guards against the same where the caller doesn't say which attempt began its stream.
    TEST_F(GatewayOnlyVersionTest, PeerThatReachesTheLogKnowsTheOnlyVersionOfUnnamedStreams)
    {
        loseLog();
        const CallId call = world.takeUp("/resumable/x", "");
        ASSERT_EQ(world.sent<StreamVersionAsk>().size(), 3U);
        inferAt(2, "v1");
        world.run(milliseconds(200));
        EXPECT_TRUE(world.dispatchOf(call));
    }

    // Guards against a mixed stream where peers' guesses differ.
    TEST_F(GatewayOnlyVersionTest, GuessesThatDifferAreNotTaken)
    {
        loseLog();
        const CallId call = world.takeUp("/resumable/x", stream_.value());
        inferAt(0, "v1");
        inferAt(1, "v2");
        world.run(milliseconds(200));
        expectRefused(call, 503, "stream_unknown");
    }

    // Guards against guesses that a router makes for a peer by an outdated list.
    TEST_F(GatewayOnlyVersionTest, RouterChecksItsListBeforeItGuessesForAPeer)
    {
        const PeerAddress peer { "127.0.0.1:7401" };
        world.unreadEntries = 1;
        world.handle(PeerReceived {
            Incarnation { 9 }, peer, StreamVersionAsk { 1, ServiceName("model"), stream_, seconds(5), true } });
        world.run(milliseconds(40));
        EXPECT_TRUE(world.sent<StreamVersionAnswer>().empty());
        world.putServer("m-new", "model", "a");
        world.run(milliseconds(40));
        const auto answers = world.sent<StreamVersionAnswer>();
        ASSERT_EQ(answers.size(), 1U);
        EXPECT_EQ(answers[0].second.version, SoftwareVersion("v1"));
        EXPECT_FALSE(answers[0].second.remembered);
    }

    // Guards against guesses that a router makes for a peer while it can't read the log.
    TEST_F(GatewayOnlyVersionTest, RouterWithoutTheLogDoesNotGuessForAPeer)
    {
        loseLog();
        world.handle(PeerReceived { Incarnation { 9 }, PeerAddress { "127.0.0.1:7401" },
            StreamVersionAsk { 1, ServiceName("model"), stream_, seconds(5), true } });
        const auto answers = world.sent<StreamVersionAnswer>();
        ASSERT_EQ(answers.size(), 1U);
        EXPECT_FALSE(answers[0].second.version);
    }

    // Guards against refusals of all streams in an outage of the log: without it, only memories are left.
    TEST_F(GatewayOnlyVersionTest, KeepersAreToldOfStreamsInAnOutageOfTheLog)
    {
        const ProxyDispatch first = dispatched(world.arrive("/resumable/x"));
        world.progress(first, 2);
        world.run(milliseconds(200));
        EXPECT_TRUE(world.sent<StreamsBegan>().empty());
        world.logReachable = false;
        world.run(milliseconds(800));
        const auto told = world.sent<StreamsBegan>();
        ASSERT_FALSE(told.empty());
        EXPECT_EQ(told.back().second.streams.back().stream, StreamId(world.requestIdOf(first.call)));
    }

    // Guards against a mixed stream of a version that came and went while this router missed changes.
    TEST_F(GatewayOnlyVersionTest, MissedChangesAreMadeUpForByTheRecordsOfVersions)
    {
        world.writeVersionRecord("127.0.0.1:7401/9/0", "model", "v2");
        world.listServers();
        world.putServer("m-1", "model", "a");
        world.run(milliseconds(100));
        expectUnknownWithin(milliseconds(300));
    }

    // Guards against a mixed stream of a version that came and went while the router stood still.
    TEST_F(GatewayOnlyVersionTest, VersionThatCameAndWentInOneReadIsNotForgotten)
    {
        world.flashServer("m-canary", "model", "v2");
        world.run(milliseconds(100));
        expectUnknownWithin(milliseconds(800));
    }

    // Guards against the same where the version had been there before.
    TEST_F(GatewayOnlyVersionTest, VersionThatCameAgainWhileChangesWereMissedIsNotForgotten)
    {
        world.flashServer("m-canary", "model", "v2");
        world.run(seconds(65));
        world.writeVersionRecord("127.0.0.1:7401/9/0", "model", "v2");
        world.listServers();
        world.putServer("m-1", "model", "a");
        world.run(milliseconds(100));
        expectUnknownWithin(milliseconds(800));
    }

    // Guards against a mixed stream that began at a router which was cut off and used a version that all others have
    // forgotten: its keepers remember it.
    TEST_F(GatewayOnlyVersionTest, MemoryOfAKeeperGoesBeforeTheOnlyVersion)
    {
        world.putServer("m-new", "model", "a", fleet::ServerState::Ready, 0, {}, "v2");
        for (const char* id : { "m-1", "m-2", "m-3" }) {
            world.dropServer(id);
        }
        world.run(seconds(63));
        const CallId call = world.takeUp("/resumable/x", stream_.value());
        EXPECT_FALSE(world.dispatchOf(call));
        const auto asked = world.sent<StreamVersionAsk>();
        ASSERT_EQ(asked.size(), 3U);
        world.handle(PeerReceived { Incarnation { 71 }, asked[1].first,
            StreamVersionAnswer { asked[1].second.search, SoftwareVersion("v1"), true } });
        expectRefused(call, 503, "version_gone");
    }

    // Guards against a guess that keepers are told as a memory, and that then beats the true one.
    TEST_F(GatewayOnlyVersionTest, TakeUpByAGuessIsNotAnsweredAsAMemory)
    {
        loseLog();
        const CallId call = world.takeUp("/resumable/x", stream_.value());
        inferAt(0, "v1");
        world.run(milliseconds(200));
        world.progress(dispatched(call), 2);
        world.run(milliseconds(800));
        for (const auto& [peer, message] : world.sent<StreamsBegan>()) {
            for (const StreamVersion& began : message.streams) {
                EXPECT_NE(began.stream, stream_);
            }
        }
        world.handle(PeerReceived { Incarnation { 9 }, PeerAddress { "127.0.0.1:7403" },
            StreamVersionAsk { 1, ServiceName("model"), stream_, seconds(5), false } });
        const auto answers = world.sent<StreamVersionAnswer>();
        ASSERT_EQ(answers.size(), 1U);
        EXPECT_FALSE(answers[0].second.version);
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
