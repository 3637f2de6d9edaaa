#include "node/QuarantineBook.h"

#include <algorithm>
#include <utility>

namespace swiftlift::node {

using quarantine::Fingerprint;
using quarantine::Report;
using quarantine::ReportId;
using quarantine::ServerLife;

const StreamName& QuarantineBook::stream()
{
    static const StreamName name { "crash-reports" };
    return name;
}

QuarantineBook::QuarantineBook(Context& context, Peers& peers)
    : context_(context)
    , peers_(peers)
    , outbox_(context.self())
{
}

void QuarantineBook::start() { context_.emit(Follow { stream(), {}, StreamKind::Keyed, readPause }); }

void QuarantineBook::onRecords(const KeyedRecords& records)
{
    known_ = known_ || records.whole;
    for (const KeyedRecord& record : records.records) {
        takeRecord(record);
    }
}

void QuarantineBook::takeRecord(const KeyedRecord& record)
{
    const auto id = quarantine::idOf(record.key);
    if (!id) {
        context_.count("swiftlift_unreadable_records_total", { { "what", "crash_report" } });
        return;
    }
    outbox_.onRead(*id, record.value.has_value(), context_.now());
    if (!record.value) {
        if (quarantine_.knows(*id)) {
            logReport(*id, "withdrawn", 0, "log");
        }
        quarantine_.onWithdrawn(*id);
        return;
    }
    if (const auto report = quarantine::decode(*record.value)) {
        take(*report, "log");
    } else {
        context_.count("swiftlift_unreadable_records_total", { { "what", "crash_report" } });
    }
}

void QuarantineBook::onPeerRecords(const Records& records)
{
    for (const std::string& record : records.records) {
        const auto report = quarantine::decode(record);
        if (report && !quarantine_.knows(report->id)) {
            outbox_.adopt(*report, context_.now() + adoptionDelay + partOf(adoptionSpread, report->id));
            take(*report, "peer");
        }
    }
}

void QuarantineBook::take(const Report& report, const char* source)
{
    if (!quarantine_.knows(report.id)) {
        logReport(report.id, report.lostWith ? "lost" : "answered", report.requests.size(), source);
    }
    quarantine_.onReport(report, context_.now());
    if (!report.lostWith || report.id.reporter == context_.self()) {
        return;
    }
    for (const Fingerprint& request : report.requests) {
        if (quarantine_.answeredLately(request, context_.now())) {
            acquit(request);
        }
    }
}

void QuarantineBook::onLost(const Fingerprint& request, const ServerLife& life, const std::string& named)
{
    quarantine_.onReport(outbox_.onLost(request, life, context_.now()), context_.now());
    context_.log(Line("suspect")
                     .with("request", named)
                     .with("content", toHex(request.content))
                     .with("account", request.account.value())
                     .with("backend", life.server.value())
                     .with("servers_ended", static_cast<std::int64_t>(quarantine_.serversEnded(request))));
}

void QuarantineBook::onAnswered(const Fingerprint& request)
{
    const bool told = quarantine_.serversEnded(request) >= worthAcquitting;
    quarantine_.onAnswered(request, context_.now());
    if (told) {
        acquit(request);
    }
}

void QuarantineBook::acquit(const Fingerprint& request)
{
    quarantine_.onReport(outbox_.onAnswered(request, context_.now()), context_.now());
}

void QuarantineBook::onServerAnswered(const ServerLife& life, Instant sentAt)
{
    withdraw(outbox_.onAlive(life, sentAt, fastestRestart), life);
}

void QuarantineBook::onServerSeen(const ServerLife& life, Instant at) { withdraw(outbox_.onAlive(life, at), life); }

void QuarantineBook::withdraw(const std::vector<ReportId>& wrong, const ServerLife& life)
{
    for (const ReportId& id : wrong) {
        logReport(id, "wrong", 0, "still runs: " + life.server.value());
        quarantine_.onWithdrawn(id);
    }
}

void QuarantineBook::tick()
{
    const auto routers = static_cast<Duration::rep>(peers_.membership().counts().alive) + 1;
    if (const auto order = outbox_.due(writeSpacingPerRouter * routers, context_.now())) {
        write(*order);
    }
    if (context_.now() >= nextExpiry_) {
        nextExpiry_ = context_.now() + expiryPeriod;
        expire();
    }
}

void QuarantineBook::onLogAnswer() noexcept { unansweredWrites_ = std::max(unansweredWrites_ - 1, 0); }

void QuarantineBook::write(const quarantine::ReportOrder& order)
{
    if (unansweredWrites_ < mostUnansweredWrites) {
        ++unansweredWrites_;
        std::string record = order.report ? quarantine::encode(*order.report) : std::string {};
        context_.emit(Append { stream(), std::move(record), quarantine::keyOf(order.id) });
    }
    if (order.report && order.first) {
        tellPeers(*order.report);
    }
}

void QuarantineBook::tellPeers(const Report& report)
{
    for (const Incarnation peer : peers_.membership().alivePeers()) {
        peers_.send(peer, Records { stream(), Offset {}, { quarantine::encode(report) } });
    }
}

void QuarantineBook::expire()
{
    for (const ReportId& id : quarantine_.expire(context_.now())) {
        const bool own = id.reporter == context_.self();
        outbox_.drop(id, context_.now() + (own ? Duration {} : partOf(dropSpread, id)));
    }
    context_.gauge("swiftlift_quarantine_suspects", static_cast<double>(quarantine_.suspects()));
}

Duration QuarantineBook::partOf(Duration spread, const ReportId& id) const
{
    const std::uint64_t mixed = context_.self().value() ^ id.reporter.value() ^ id.number;
    return Duration { static_cast<Duration::rep>(mixed % static_cast<std::uint64_t>(spread.count())) };
}

void QuarantineBook::logReport(const ReportId& id, const char* change, std::size_t requests, const std::string& detail)
{
    context_.log(Line("crash_report")
                     .with("change", change)
                     .with("report", quarantine::keyOf(id))
                     .with("requests", static_cast<std::int64_t>(requests))
                     .with("detail", detail));
}

} // namespace swiftlift::node
