#include "wire/PeerWriter.h"

#include <algorithm>
#include <cstdint>
#include <limits>

#include "wire/LoadUnits.h"

namespace swiftlift::wire::internal {

namespace {

    void write(const GrantId& grant, proto::ledger::Grant& out)
    {
        out.set_holder(grant.holder.value());
        out.set_number(grant.number);
    }

    void write(const BudgetRef& budget, proto::ledger::Budget& out)
    {
        out.set_account(budget.account.value());
        out.set_budget(budget.budget.value());
    }

    void write(const routing::SharedAnnouncement& announcement, proto::peer::Announcement& out)
    {
        out.set_backend(announcement.backend.value());
        out.set_instance(announcement.instance);
        if (announcement.limit) {
            out.set_limit(*announcement.limit);
        }
        if (announcement.limitAge) {
            out.set_limit_age(static_cast<std::uint64_t>(announcement.limitAge->count()));
        }
        if (announcement.leavingAge) {
            out.set_leaving_age(static_cast<std::uint64_t>(announcement.leavingAge->count()));
        }
        if (announcement.brittle) {
            out.set_brittle(*announcement.brittle);
        }
        if (announcement.brittleAge) {
            out.set_brittle_age(static_cast<std::uint64_t>(announcement.brittleAge->count()));
        }
        if (announcement.turnedAwayAge) {
            out.set_turned_away_age(static_cast<std::uint64_t>(announcement.turnedAwayAge->count()));
        }
    }

    template <typename Message> void writeCeilings(const std::vector<ledger::Ceiling>& ceilings, Message& out)
    {
        for (const auto& ceiling : ceilings) {
            auto& added = *out.add_ceilings();
            write(ceiling.grant, *added.mutable_grant());
            added.set_ceiling(ceiling.ceiling.value());
            added.set_alone(ceiling.holderOnly);
        }
    }

    /** @return The number as a field of 32 bits; greater numbers become the greatest one. */
    [[nodiscard]] std::uint32_t toField(std::int64_t number)
    {
        constexpr std::int64_t greatest = std::numeric_limits<std::uint32_t>::max();
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(number, 0, greatest));
    }

    [[nodiscard]] std::uint32_t toUnits(Tokens tokens)
    {
        return toField((tokens.value() + tokensPerLoadUnit - 1) / tokensPerLoadUnit);
    }

    void write(const std::vector<routing::ServerLoadEntry>& loads, proto::peer::ServerLoads& out)
    {
        for (const auto& [server, load, pace] : loads) {
            out.add_servers(server.value());
            out.add_in_progress(load.inProgress);
            out.add_unread(toUnits(load.unread));
            out.add_memory(toUnits(load.memory));
            out.add_pace(toField(pace.value_or(Duration {}).count()));
        }
    }

} // namespace

void write(const node::Heartbeat& message, proto::peer::Envelope& out)
{
    auto& body = *out.mutable_heartbeat();
    body.set_domain(message.domain.value());
    body.set_region(message.region.value());
    body.set_stopping(message.stopping);
    body.set_log_reachable(message.logReachable);
    for (const auto& position : message.positions) {
        auto& added = *body.add_positions();
        added.set_stream(position.stream.value());
        added.set_next_offset(position.next.value());
    }
    for (const auto& announcement : message.announcements) {
        write(announcement, *body.add_announcements());
    }
    body.set_relay(message.relay.value());
    for (const auto& domain : message.unreachableDomains) {
        body.add_unreachable_domains(domain.value());
    }
    body.set_overloaded(message.overloaded);
    body.set_config_version(message.config.version);
    if (message.config.age) {
        body.set_config_age(static_cast<std::uint64_t>(message.config.age->count()));
    }
    body.set_bandwidth(message.bandwidth);
}

void write(const node::RaiseCeilings& message, proto::peer::Envelope& out)
{
    writeCeilings(message.ceilings, *out.mutable_raise_ceilings());
}

void write(const node::CeilingsAcked& message, proto::peer::Envelope& out)
{
    writeCeilings(message.ceilings, *out.mutable_ceilings_acked());
}

void write(const node::CeilingsRefused& message, proto::peer::Envelope& out)
{
    auto& body = *out.mutable_ceilings_refused();
    for (const auto& grant : message.grants) {
        write(grant, *body.add_grants());
    }
}

void write(const node::LoanAsk& message, proto::peer::Envelope& out)
{
    auto& body = *out.mutable_loan_ask();
    body.set_loan(message.loan);
    write(message.budget, *body.mutable_budget());
    body.set_tokens(message.amount.value());
}

void write(const node::LoanGiven& message, proto::peer::Envelope& out)
{
    auto& body = *out.mutable_loan_given();
    body.set_loan(message.loan);
    write(message.budget, *body.mutable_budget());
    write(message.grant, *body.mutable_grant());
    body.set_tokens(message.amount.value());
    body.set_alone(message.holderOnly);
}

void write(const node::LoanDenied& message, proto::peer::Envelope& out)
{
    auto& body = *out.mutable_loan_denied();
    body.set_loan(message.loan);
    write(message.budget, *body.mutable_budget());
    body.set_free(message.free.value());
}

void write(const node::LoanDone& message, proto::peer::Envelope& out)
{
    auto& body = *out.mutable_loan_done();
    body.set_loan(message.loan);
    body.set_billed(message.billed.value());
}

void write(const node::LoanDoneAcked& message, proto::peer::Envelope& out)
{
    out.mutable_loan_done_acked()->set_loan(message.loan);
}

void write(const node::ReadAsk& message, proto::peer::Envelope& out)
{
    auto& body = *out.mutable_read_ask();
    body.set_stream(message.stream.value());
    body.set_from(message.from.value());
}

void write(const node::Records& message, proto::peer::Envelope& out)
{
    auto& body = *out.mutable_records();
    body.set_stream(message.stream.value());
    body.set_first_offset(message.first.value());
    for (const auto& record : message.records) {
        body.add_records(record);
    }
}

void write(const node::StreamState& message, proto::peer::Envelope& out)
{
    auto& body = *out.mutable_stream_state();
    body.set_stream(message.stream.value());
    body.set_as_of(message.asOf.value());
    body.set_state(message.state);
}

void write(const node::RelayAppend& message, proto::peer::Envelope& out)
{
    auto& body = *out.mutable_relay_append();
    body.set_stream(message.stream.value());
    body.set_record(message.record);
}

void write(const node::CopyItems& message, proto::peer::Envelope& out)
{
    auto& body = *out.mutable_copy_items();
    body.set_stream(message.stream.value());
    body.set_batch(message.batch);
    body.set_distant(message.distant);
}

void write(const node::ItemsCopied& message, proto::peer::Envelope& out)
{
    auto& body = *out.mutable_items_copied();
    body.set_stream(message.stream.value());
    body.set_sequence(message.sequence);
}

void write(const node::StreamsBegan& message, proto::peer::Envelope& out)
{
    auto& body = *out.mutable_streams_began();
    for (const auto& [stream, version] : message.streams) {
        auto& entry = *body.add_streams();
        entry.set_stream(stream.value());
        entry.set_version(version.value());
    }
}

void write(const node::StreamVersionAsk& message, proto::peer::Envelope& out)
{
    auto& body = *out.mutable_stream_version_ask();
    body.set_service(message.service.value());
    body.set_stream(message.stream.value());
    body.set_max_age(static_cast<std::uint64_t>(message.maxAge.count()));
    body.set_infer(message.infer);
    body.set_search(message.search);
}

void write(const node::StreamVersionAnswer& message, proto::peer::Envelope& out)
{
    auto& body = *out.mutable_stream_version_answer();
    body.set_search(message.search);
    if (message.version) {
        body.set_version(message.version->value());
    }
    body.set_remembered(message.remembered);
}

void write(const node::LoadReport& message, proto::peer::Envelope& out)
{
    auto& body = *out.mutable_load_report();
    body.set_sequence(message.sequence);
    write(message.loads, *body.mutable_loads());
}

void write(const node::LoadDigest& message, proto::peer::Envelope& out)
{
    auto& body = *out.mutable_load_digest();
    const bool isFleet = message.scope == node::DigestScope::Fleet;
    body.set_scope(isFleet ? proto::peer::LoadDigest::FLEET : proto::peer::LoadDigest::DOMAIN);
    body.set_sequence(message.sequence);
    write(message.loads, *body.mutable_loads());
    body.set_domain(message.domain.value());
    body.set_forwarded(message.forwardedFor.has_value());
    if (message.forwardedFor) {
        body.set_collector(message.forwardedFor->collector.value());
        body.set_collector_address(message.forwardedFor->address.value());
    }
}

} // namespace swiftlift::wire::internal
