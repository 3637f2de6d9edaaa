#include "node/QuarantineCoordinator.h"

#include <algorithm>
#include <utility>

namespace swiftlift::node {

using quarantine::BackendInstance;
using quarantine::Fingerprint;
using quarantine::HeldBackPart;
using quarantine::PromptPart;
using quarantine::Report;
using quarantine::ReportId;

const StreamName& QuarantineCoordinator::stream()
{
    static const StreamName name { "crash-reports" };
    return name;
}

QuarantineCoordinator::QuarantineCoordinator(Context& context, Peers& peers)
    : context_(context)
    , peers_(peers)
    , outbox_(context.self())
{
}

void QuarantineCoordinator::start() { context_.emit(Follow { stream(), {}, StreamKind::Keyed, readPause }); }

void QuarantineCoordinator::onRecords(const KeyedRecords& records)
{
    const bool isOld = !reportsRead_;
    reportsRead_ = reportsRead_ || records.whole;
    for (const KeyedRecord& record : records.records) {
        applyRecord(record, isOld);
    }
}

void QuarantineCoordinator::applyRecord(const KeyedRecord& record, bool isOld)
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
        parts_.onWithdrawn(*id);
        reviewVerdicts();
        return;
    }
    if (const auto report = quarantine::decode(*record.value)) {
        parts_.onReport(*report, isOld, context_.now());
        onAnsweredElsewhere(*report);
        applyReport(*report, "log");
    } else {
        context_.count("swiftlift_unreadable_records_total", { { "what", "crash_report" } });
    }
}

void QuarantineCoordinator::onPeerRecords(const Records& records)
{
    for (const std::string& record : records.records) {
        const auto report = quarantine::decode(record);
        if (report && !quarantine_.knows(report->id)) {
            outbox_.adopt(*report, context_.now() + adoptionDelay + jitterFor(maxAdoptionJitter, report->id));
            parts_.onReport(*report, false, context_.now());
            onAnsweredElsewhere(*report);
            applyReport(*report, "peer");
        }
    }
}

void QuarantineCoordinator::applyReport(const Report& report, const char* source)
{
    if (!quarantine_.knows(report.id)) {
        logReport(report.id, report.failedInstance ? "lost" : "answered", report.requests.size(), source);
    }
    quarantine_.onReport(report, context_.now());
    if (!report.failedInstance || report.id.reporter == context_.self()) {
        return;
    }
    onInstanceEnded(*report.failedInstance);
    for (const Fingerprint& request : report.requests) {
        if (quarantine_.answeredRecently(request, context_.now())) {
            reportAnswered(request);
        }
    }
}

void QuarantineCoordinator::onRequestLost(const Fingerprint& request, const std::vector<PromptPart>& parts,
    const BackendInstance& instance, const std::string& callerRequestId)
{
    const Report report = outbox_.onRequestLost(request, parts, instance, context_.now());
    quarantine_.onReport(report, context_.now());
    parts_.onReport(report, false, context_.now());
    onInstanceEnded(instance);
    context_.log(LogLineBuilder("suspect")
                     .with("request", callerRequestId)
                     .with("content", toHex(request.content))
                     .with("account", request.account.value())
                     .with("backend", instance.server.value())
                     .with("servers_ended", static_cast<std::int64_t>(quarantine_.serversEnded(request))));
}

void QuarantineCoordinator::onAnswered(const QuarantineAnswer& answer, bool lives)
{
    if (lives) {
        applyAnswer(answer);
        return;
    }
    const auto ended = ended_.find(answer.instance);
    if (ended != ended_.end() && context_.now() - ended->second < crashTime) {
        applyLoss(answer);
        return;
    }
    if (uncertain_.size() >= maxUncertain) {
        uncertain_.pop_front();
    }
    uncertain_.push_back({ answer, context_.now() });
}

void QuarantineCoordinator::applyAnswer(const QuarantineAnswer& answer)
{
    onPartsAnswered(answer.parts, answer.sentAt);
    if (!answer.request) {
        return;
    }
    const bool isSuspect = quarantine_.serversEnded(*answer.request) >= minServersToReportAnswer;
    quarantine_.onAnswered(*answer.request, context_.now());
    if (isSuspect) {
        reportAnswered(*answer.request);
    }
}

void QuarantineCoordinator::applyLoss(const QuarantineAnswer& answer)
{
    if (answer.request) {
        onRequestLost(*answer.request, answer.parts, answer.instance, answer.callerRequestId);
    }
}

std::vector<QuarantineAnswer> QuarantineCoordinator::takeUncertain(const BackendInstance& instance, Instant at)
{
    std::vector<QuarantineAnswer> taken;
    std::erase_if(uncertain_, [&](const UncertainAnswer& each) {
        const bool isTaken = each.answer.instance == instance && each.at < at;
        if (isTaken) {
            taken.push_back(each.answer);
        }
        return isTaken;
    });
    return taken;
}

void QuarantineCoordinator::onInstanceAlive(const BackendInstance& instance, Instant at)
{
    for (const QuarantineAnswer& answer : takeUncertain(instance, at)) {
        applyAnswer(answer);
    }
}

void QuarantineCoordinator::onInstanceEnded(const BackendInstance& instance)
{
    ended_[instance] = context_.now();
    for (const QuarantineAnswer& answer : takeUncertain(instance, Instant::max())) {
        applyLoss(answer);
    }
}

void QuarantineCoordinator::expireUncertain()
{
    std::erase_if(ended_, [&](const auto& entry) { return context_.now() - entry.second >= crashTime; });
    std::vector<QuarantineAnswer> lost;
    while (!uncertain_.empty() && context_.now() - uncertain_.front().at >= aliveTime) {
        const bool othersWereSeen = anyServerSeenAt_ > uncertain_.front().at + aliveTime / 2;
        if (othersWereSeen) {
            lost.push_back(std::move(uncertain_.front().answer));
        }
        uncertain_.pop_front();
    }
    for (const QuarantineAnswer& answer : lost) {
        applyLoss(answer);
    }
}

void QuarantineCoordinator::onPartsAnswered(const std::vector<PromptPart>& parts, Instant sentAt)
{
    std::vector<PromptPart> cleared;
    for (const auto& [part, verdicts] : parts_.onAnswered(parts, sentAt, context_.now())) {
        cleared.push_back(part);
        // Routers that start later read all verdicts that the log still has, also those of routers that have ended.
        for (const ReportId& id : verdicts) {
            outbox_.drop(id, context_.now());
        }
        withdrawVerdict(part);
        logPart(part, "cleared", 0);
    }
    if (!cleared.empty()) {
        (void)outbox_.onPartsJudged(cleared, false, context_.now());
    }
}

void QuarantineCoordinator::onAnsweredElsewhere(const Report& report)
{
    if (report.failedInstance || report.heldBack || report.id.reporter == context_.self()) {
        return;
    }
    for (const PromptPart& part : report.parts) {
        withdrawVerdict(part);
    }
}

void QuarantineCoordinator::withdrawVerdict(const PromptPart& part)
{
    if (const auto verdict = ownVerdicts_.find(part); verdict != ownVerdicts_.end()) {
        outbox_.drop(verdict->second, context_.now());
        parts_.onWithdrawn(verdict->second);
        ownVerdicts_.erase(verdict);
    }
}

std::optional<HeldBackPart> QuarantineCoordinator::heldBackPart(const std::vector<PromptPart>& parts)
{
    const auto held = parts_.heldBack(parts, context_.now());
    if (held && held->isNew) {
        const Report verdict = outbox_.onPartsJudged({ held->part }, true, context_.now());
        parts_.onReport(verdict, false, context_.now());
        ownVerdicts_[held->part] = verdict.id;
        logPart(held->part, "held_back", held->serversEnded);
    }
    return held;
}

void QuarantineCoordinator::reviewVerdicts()
{
    for (auto verdict = ownVerdicts_.begin(); verdict != ownVerdicts_.end();) {
        const auto [part, id] = *verdict;
        if (parts_.serversEnded(part) >= quarantine::PartLimits {}.minServersEnded) {
            ++verdict;
            continue;
        }
        outbox_.drop(id, context_.now());
        parts_.onWithdrawn(id);
        logPart(part, "released", parts_.serversEnded(part));
        verdict = ownVerdicts_.erase(verdict);
    }
}

void QuarantineCoordinator::logPart(const PromptPart& part, const char* change, std::size_t serversEnded)
{
    context_.log(LogLineBuilder("prompt_part")
                     .with("part", toHex(part.hash))
                     .with("service", toHex(part.service))
                     .with("change", change)
                     .with("servers_ended", static_cast<std::int64_t>(serversEnded)));
}

void QuarantineCoordinator::reportAnswered(const Fingerprint& request)
{
    quarantine_.onReport(outbox_.onAnswered(request, context_.now()), context_.now());
}

void QuarantineCoordinator::onServerAnswered(const BackendInstance& instance, Instant sentAt)
{
    onInstanceAlive(instance, sentAt);
    withdrawReports(outbox_.onInstanceAlive(instance, sentAt, minRestartTime), instance);
}

void QuarantineCoordinator::onServerSeen(const BackendInstance& instance, Instant at)
{
    anyServerSeenAt_ = std::max(anyServerSeenAt_, at);
    onInstanceAlive(instance, at);
    withdrawReports(outbox_.onInstanceAlive(instance, at), instance);
}

void QuarantineCoordinator::withdrawReports(const std::vector<ReportId>& wrong, const BackendInstance& instance)
{
    for (const ReportId& id : wrong) {
        logReport(id, "wrong", 0, "backend server still runs: " + instance.server.value());
        quarantine_.onWithdrawn(id);
        parts_.onWithdrawn(id);
    }
    if (!wrong.empty()) {
        reviewVerdicts();
    }
}

void QuarantineCoordinator::tick()
{
    const auto routers = static_cast<Duration::rep>(peers_.membership().counts().alive) + 1;
    if (const auto order = outbox_.due(writeSpacingPerRouter * routers, context_.now())) {
        writeReport(*order);
    }
    if (context_.now() >= nextExpiry_) {
        nextExpiry_ = context_.now() + expiryPeriod;
        dropExpired();
        parts_.expire(context_.now());
        expireUncertain();
    }
}

void QuarantineCoordinator::onLogAnswer() noexcept { unansweredWrites_ = std::max(unansweredWrites_ - 1, 0); }

void QuarantineCoordinator::writeReport(const quarantine::ReportOrder& order)
{
    if (unansweredWrites_ < maxUnansweredWrites) {
        ++unansweredWrites_;
        std::string record = order.report ? quarantine::encode(*order.report) : std::string {};
        context_.emit(Append { stream(), std::move(record), quarantine::keyOf(order.id) });
    }
    if (order.report && order.first) {
        sendToPeers(*order.report);
    }
}

void QuarantineCoordinator::sendToPeers(const Report& report)
{
    for (const Incarnation peer : peers_.membership().alivePeers()) {
        peers_.send(peer, Records { stream(), Offset {}, { quarantine::encode(report) } });
    }
}

void QuarantineCoordinator::dropExpired()
{
    for (const ReportId& id : quarantine_.expire(context_.now())) {
        const bool own = id.reporter == context_.self();
        outbox_.drop(id, context_.now() + (own ? Duration {} : jitterFor(maxDropJitter, id)));
    }
    context_.gauge("swiftlift_quarantine_suspects", static_cast<double>(quarantine_.suspects()));
    context_.gauge("swiftlift_quarantine_suspected_parts", static_cast<double>(parts_.suspects()));
}

Duration QuarantineCoordinator::jitterFor(Duration maxJitter, const ReportId& id) const
{
    const std::uint64_t mixed = context_.self().value() ^ id.reporter.value() ^ id.number;
    return Duration { static_cast<Duration::rep>(mixed % static_cast<std::uint64_t>(maxJitter.count())) };
}

void QuarantineCoordinator::logReport(
    const ReportId& id, const char* change, std::size_t requests, const std::string& detail)
{
    context_.log(LogLineBuilder("crash_report")
                     .with("change", change)
                     .with("report", quarantine::keyOf(id))
                     .with("requests", static_cast<std::int64_t>(requests))
                     .with("detail", detail));
}

} // namespace swiftlift::node
