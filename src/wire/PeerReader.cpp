#include "wire/PeerReader.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "wire/LoadUnits.h"

namespace swiftlift::wire::internal {

namespace {

    using proto::peer::Envelope;

    /** Greatest age that is read, in microseconds: a day. */
    constexpr std::uint64_t maxAge = 86'400'000'000U;
    /** Maximum number of backend servers that are read from one message, more than any sender states. */
    constexpr int maxServersRead = 4096;

    GrantId read(const proto::ledger::Grant& in) { return { Incarnation(in.holder()), in.number() }; }

    BudgetRef read(const proto::ledger::Budget& in) { return { AccountId(in.account()), BudgetId(in.budget()) }; }

    template <typename Message> std::vector<ledger::Ceiling> readCeilings(const Message& in)
    {
        std::vector<ledger::Ceiling> ceilings;
        for (const auto& ceiling : in.ceilings()) {
            ceilings.push_back({ read(ceiling.grant()), Tokens(ceiling.ceiling()), ceiling.alone() });
        }
        return ceilings;
    }

    Duration toAge(std::uint64_t microseconds)
    {
        return Duration(static_cast<Duration::rep>(std::min(microseconds, maxAge)));
    }

    bool isAmount(double number) { return std::isfinite(number) && number >= 0; }

    routing::SharedAnnouncement read(const proto::peer::Announcement& in)
    {
        routing::SharedAnnouncement announcement;
        announcement.backend = BackendId(in.backend());
        announcement.instance = in.instance();
        if (in.has_limit_age()) {
            announcement.limitAge = toAge(in.limit_age());
        }
        if (in.has_leaving_age()) {
            announcement.leavingAge = toAge(in.leaving_age());
        }
        if (in.has_brittle_age()) {
            announcement.brittleAge = toAge(in.brittle_age());
        }
        if (in.has_turned_away_age()) {
            announcement.turnedAwayAge = toAge(in.turned_away_age());
        }
        // Requests can't be divided by a limit that is no number.
        if (in.has_limit() && isAmount(in.limit())) {
            announcement.limit = in.limit();
        }
        if (in.has_brittle() && isAmount(in.brittle())) {
            announcement.brittle = in.brittle();
        }
        return announcement;
    }

    node::Heartbeat read(const proto::peer::Heartbeat& in)
    {
        node::Heartbeat heartbeat;
        heartbeat.domain = FailureDomain(in.domain());
        heartbeat.region = Region(in.region());
        heartbeat.stopping = in.stopping();
        heartbeat.logReachable = in.log_reachable();
        for (const auto& position : in.positions()) {
            heartbeat.positions.push_back({ StreamName(position.stream()), Offset(position.next_offset()) });
        }
        for (const auto& announcement : in.announcements()) {
            heartbeat.announcements.push_back(read(announcement));
        }
        heartbeat.relay = RelayAddress(in.relay());
        for (const auto& domain : in.unreachable_domains()) {
            heartbeat.unreachableDomains.emplace_back(domain);
        }
        heartbeat.overloaded = in.overloaded();
        heartbeat.config.version = in.config_version();
        if (in.has_config_age()) {
            heartbeat.config.age = toAge(in.config_age());
        }
        // Routers can't be ordered by a bandwidth that is no number.
        heartbeat.bandwidth = isAmount(in.bandwidth()) ? in.bandwidth() : 0;
        return heartbeat;
    }

    node::CeilingsRefused read(const proto::peer::CeilingsRefused& in)
    {
        node::CeilingsRefused refused;
        for (const auto& grant : in.grants()) {
            refused.grants.push_back(read(grant));
        }
        return refused;
    }

    node::LoanAsk read(const proto::peer::LoanAsk& in) { return { in.loan(), read(in.budget()), Tokens(in.tokens()) }; }

    node::LoanGiven read(const proto::peer::LoanGiven& in)
    {
        return { in.loan(), read(in.budget()), read(in.grant()), Tokens(in.tokens()), in.alone() };
    }

    node::LoanDenied read(const proto::peer::LoanDenied& in)
    {
        return { in.loan(), read(in.budget()), Tokens(in.free()) };
    }

    node::Records read(const proto::peer::Records& in)
    {
        return { StreamName(in.stream()), Offset(in.first_offset()), { in.records().begin(), in.records().end() } };
    }

    node::StreamsBegan read(const proto::peer::StreamsBegan& in)
    {
        node::StreamsBegan began;
        for (const auto& entry : in.streams()) {
            began.streams.push_back({ StreamId(entry.stream()), SoftwareVersion(entry.version()) });
        }
        return began;
    }

    node::StreamVersionAnswer read(const proto::peer::StreamVersionAnswer& in)
    {
        node::StreamVersionAnswer answer { in.search(), std::nullopt, in.remembered() };
        if (in.has_version()) {
            answer.version = SoftwareVersion(in.version());
        }
        return answer;
    }

    Tokens fromUnits(std::uint32_t units) { return Tokens(units * tokensPerLoadUnit); }

    /** @return The loads; of arrays of different lengths, those of the servers that all arrays state. */
    std::vector<routing::ServerLoadEntry> read(const proto::peer::ServerLoads& in)
    {
        const int size = std::min({ in.servers_size(), in.in_progress_size(), in.unread_size(), in.memory_size(),
            in.pace_size(), maxServersRead });
        std::vector<routing::ServerLoadEntry> loads;
        loads.reserve(static_cast<std::size_t>(size));
        for (int index = 0; index < size; ++index) {
            const routing::ServerLoad load { in.in_progress(index), fromUnits(in.unread(index)),
                fromUnits(in.memory(index)) };
            const std::uint32_t pace = in.pace(index);
            loads.push_back({ routing::ServerKey(in.servers(index)), load,
                pace == 0 ? std::nullopt : std::optional(Duration(pace)) });
        }
        return loads;
    }

    /** @return The digest; nullopt: its scope is one that this release does not know. */
    std::optional<node::PeerMessage> read(const proto::peer::LoadDigest& in)
    {
        if (in.scope() != proto::peer::LoadDigest::DOMAIN && in.scope() != proto::peer::LoadDigest::FLEET) {
            return std::nullopt;
        }
        node::LoadDigest digest;
        const bool isFleet = in.scope() == proto::peer::LoadDigest::FLEET;
        digest.scope = isFleet ? node::DigestScope::Fleet : node::DigestScope::Domain;
        digest.sequence = in.sequence();
        digest.loads = read(in.loads());
        digest.domain = FailureDomain(in.domain());
        if (in.forwarded()) {
            digest.forwardedFor
                = node::DigestOrigin { Incarnation(in.collector()), PeerAddress(in.collector_address()) };
        }
        return digest;
    }

} // namespace

std::optional<node::PeerMessage> readMessage(const Envelope& in)
{
    switch (in.body_case()) {
    case Envelope::kHeartbeat:
        return read(in.heartbeat());
    case Envelope::kRaiseCeilings:
        return node::RaiseCeilings { readCeilings(in.raise_ceilings()) };
    case Envelope::kCeilingsAcked:
        return node::CeilingsAcked { readCeilings(in.ceilings_acked()) };
    case Envelope::kCeilingsRefused:
        return read(in.ceilings_refused());
    case Envelope::kLoanAsk:
        return read(in.loan_ask());
    case Envelope::kLoanGiven:
        return read(in.loan_given());
    case Envelope::kLoanDenied:
        return read(in.loan_denied());
    case Envelope::kLoanDone:
        return node::LoanDone { in.loan_done().loan(), Tokens(in.loan_done().billed()) };
    case Envelope::kLoanDoneAcked:
        return node::LoanDoneAcked { in.loan_done_acked().loan() };
    case Envelope::kReadAsk:
        return node::ReadAsk { StreamName(in.read_ask().stream()), Offset(in.read_ask().from()) };
    case Envelope::kRecords:
        return read(in.records());
    case Envelope::kStreamState:
        return node::StreamState { StreamName(in.stream_state().stream()), Offset(in.stream_state().as_of()),
            in.stream_state().state() };
    case Envelope::kRelayAppend:
        return node::RelayAppend { StreamName(in.relay_append().stream()), in.relay_append().record() };
    case Envelope::kCopyItems:
        return node::CopyItems { StreamName(in.copy_items().stream()), in.copy_items().batch(),
            in.copy_items().distant() };
    case Envelope::kItemsCopied:
        return node::ItemsCopied { StreamName(in.items_copied().stream()), in.items_copied().sequence() };
    case Envelope::kStreamsBegan:
        return read(in.streams_began());
    case Envelope::kStreamVersionAsk:
        return node::StreamVersionAsk { in.stream_version_ask().search(),
            ServiceName(in.stream_version_ask().service()), StreamId(in.stream_version_ask().stream()),
            toAge(in.stream_version_ask().max_age()), in.stream_version_ask().infer() };
    case Envelope::kStreamVersionAnswer:
        return read(in.stream_version_answer());
    case Envelope::kLoadReport:
        return node::LoadReport { in.load_report().sequence(), read(in.load_report().loads()) };
    case Envelope::kLoadDigest:
        return read(in.load_digest());
    case Envelope::BODY_NOT_SET:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace swiftlift::wire::internal
