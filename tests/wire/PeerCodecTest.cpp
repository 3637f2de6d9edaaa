#include <gtest/gtest.h>

#include "peer.pb.h"
#include "swiftlift/wire/PeerCodec.h"

namespace swiftlift::wire {

namespace {

    const GrantId grant { Incarnation(11), 3 };
    const BudgetRef budget { AccountId("acme"), BudgetId("desk") };
    const std::vector<ledger::Ceiling> ceilings { { grant, Tokens(500) }, { { Incarnation(12), 4 }, Tokens(0) } };

    const std::vector<routing::SharedAnnouncement> announcements { { BackendId("s1"), 5, 2.5, std::chrono::seconds(1),
                                                                       std::nullopt },
        { BackendId("s2"), 0, std::nullopt, std::nullopt, std::chrono::milliseconds(3) },
        { BackendId("s3"), 0, std::nullopt, std::nullopt, std::nullopt, 4.5, std::chrono::milliseconds(4),
            std::chrono::milliseconds(5) } };

    const std::vector<routing::ServerLoadEntry> loads { { routing::ServerKey(0xFFFF'FFFFU),
                                                            { 3, Tokens(128), Tokens(6400) }, Duration(4'250) },
        { routing::ServerKey(1), { 0, Tokens(0), Tokens(64) }, std::nullopt } };

    /** @return One message of each kind, in the order of the alternatives of `node::PeerMessage`. */
    std::vector<node::PeerMessage> makeMessages()
    {
        node::Heartbeat heartbeat;
        heartbeat.domain = FailureDomain("regina-a");
        heartbeat.region = Region("sask-south");
        heartbeat.stopping = true;
        heartbeat.positions = { { StreamName("config"), Offset(7) } };
        heartbeat.announcements = announcements;
        heartbeat.relay = RelayAddress("127.0.0.1:9");
        heartbeat.unreachableDomains = { FailureDomain("d") };
        heartbeat.overloaded = true;
        heartbeat.config = { 12, std::chrono::milliseconds(340) };
        heartbeat.bandwidth = 200;
        return { heartbeat, node::RaiseCeilings { ceilings }, node::CeilingsAcked { ceilings },
            node::CeilingsRefused { { grant } }, node::LoanAsk { 1, budget, Tokens(5) },
            node::LoanGiven { 2, budget, grant, Tokens(6) }, node::LoanDenied { 3, budget, Tokens(7) },
            node::LoanDone { 4, Tokens(8) }, node::LoanDoneAcked { 5 }, node::ReadAsk { StreamName("s"), Offset(9) },
            node::Records { StreamName("s"), Offset(9), { std::string("\0a", 2), "b" } },
            node::StreamState { StreamName("s"), Offset(10), std::string("\0state", 6) },
            node::RelayAppend { StreamName("s"), "record" }, node::CopyItems { StreamName("s"), "batch", true },
            node::ItemsCopied { StreamName("s"), 42 },
            node::StreamsBegan { { { StreamId("a"), SoftwareVersion("v1") }, { StreamId("b"), SoftwareVersion("") } } },
            node::StreamVersionAsk { 6, ServiceName("s"), StreamId("a"), std::chrono::seconds(9), true },
            node::StreamVersionAnswer { 6, SoftwareVersion("v1"), true }, node::LoadReport { 3, loads },
            node::LoadDigest { node::DigestScope::Fleet, 4, loads, FailureDomain("d"),
                node::DigestOrigin { Incarnation(5), PeerAddress("127.0.0.1:7") } } };
    }

} // namespace

// Compares the encoded bytes instead of the fields, which differ from kind to kind: a field that decoding or encoding
// loses is missing from the second encoding.
TEST(PeerCodec, RoundTripPreservesEveryKindOfMessage)
{
    const auto allMessages = makeMessages();
    ASSERT_EQ(allMessages.size(), std::variant_size_v<node::PeerMessage>);
    for (const auto& message : allMessages) {
        const PeerEnvelope envelope { Incarnation(1), PeerAddress("127.0.1.1:7400"), Incarnation(2), message };
        const std::string bytes = encodePeerEnvelope(envelope);
        const auto decoded = decodePeerEnvelope(bytes);
        ASSERT_TRUE(decoded) << "kind " << message.index();
        EXPECT_EQ(decoded->sender, envelope.sender);
        EXPECT_EQ(decoded->senderAddress, envelope.senderAddress);
        EXPECT_EQ(decoded->receiver, envelope.receiver);
        EXPECT_EQ(decoded->message.index(), message.index());
        EXPECT_EQ(encodePeerEnvelope(*decoded), bytes) << "kind " << message.index();
    }
}

TEST(PeerCodec, RoundTripPreservesFieldValues)
{
    const auto allMessages = makeMessages();
    const auto roundTrip = [](const node::PeerMessage& message) {
        return decodePeerEnvelope(encodePeerEnvelope({ Incarnation(1), PeerAddress("a"), Incarnation(), message }));
    };
    const auto given = std::get<node::LoanGiven>(roundTrip(allMessages[5])->message);
    EXPECT_EQ(given.budget, budget);
    EXPECT_EQ(given.grant, grant);
    EXPECT_EQ(given.amount, Tokens(6));
    EXPECT_EQ(std::get<node::CeilingsAcked>(roundTrip(allMessages[2])->message).ceilings, ceilings);
    EXPECT_EQ(std::get<node::Records>(roundTrip(allMessages[10])->message).records.front(), std::string("\0a", 2));
    const auto heartbeat = std::get<node::Heartbeat>(roundTrip(allMessages[0])->message);
    EXPECT_TRUE(heartbeat.stopping);
    EXPECT_FALSE(heartbeat.logReachable);
    EXPECT_EQ(heartbeat.positions.front().next, Offset(7));
    EXPECT_EQ(heartbeat.announcements, announcements);
    EXPECT_EQ(heartbeat.relay, RelayAddress("127.0.0.1:9"));
    EXPECT_EQ(heartbeat.unreachableDomains, std::vector<FailureDomain> { FailureDomain("d") });
    EXPECT_TRUE(heartbeat.overloaded);
    EXPECT_EQ(heartbeat.config, (node::ConfigState { 12, std::chrono::milliseconds(340) }));
    EXPECT_EQ(heartbeat.bandwidth, 200);
    const auto digest = std::get<node::LoadDigest>(roundTrip(allMessages[19])->message);
    EXPECT_EQ(digest.scope, node::DigestScope::Fleet);
    EXPECT_EQ(digest.loads, loads);
    EXPECT_EQ(digest.forwardedFor->collector, Incarnation(5));
}

// Guards against a router that stops, or reads garbage, when a newer one sends a kind of message that it doesn't know.
TEST(PeerCodec, IgnoresMessagesOfUnknownKinds)
{
    std::string bytes
        = encodePeerEnvelope({ Incarnation(1), PeerAddress("a"), Incarnation(), node::LoadReport { 3, loads } });
    // The tag of field 23, load_report, becomes that of field 2000.
    const auto tag = bytes.find("\xBA\x01");
    ASSERT_NE(tag, std::string::npos);
    bytes.replace(tag, 2, "\x82\x7D");
    EXPECT_FALSE(decodePeerEnvelope(bytes));
}

// Guards against reads beyond the end of an array that is shorter than the others.
TEST(PeerCodec, ReadsOnlyServersThatAllArraysState)
{
    proto::peer::Envelope envelope;
    envelope.set_sender(1);
    auto& stated = *envelope.mutable_load_report()->mutable_loads();
    stated.add_servers(1);
    stated.add_servers(2);
    stated.add_in_progress(3);
    stated.add_unread(1);
    stated.add_memory(2);
    stated.add_pace(0);
    const auto report = std::get<node::LoadReport>(decodePeerEnvelope(envelope.SerializeAsString())->message);
    const std::vector<routing::ServerLoadEntry> expected { { routing::ServerKey(1), { 3, Tokens(64), Tokens(128) } } };
    EXPECT_EQ(report.loads, expected);
}

TEST(PeerCodec, RefusesBytesThatAreNoValidEnvelope)
{
    EXPECT_FALSE(decodePeerEnvelope("\xFF\xFF\xFF garbage"));
    EXPECT_FALSE(decodePeerEnvelope(""));
    // An envelope whose sender is 0.
    EXPECT_FALSE(decodePeerEnvelope(
        encodePeerEnvelope({ Incarnation(), PeerAddress("a"), Incarnation(), node::LoanDoneAcked { 1 } })));
}

} // namespace swiftlift::wire
