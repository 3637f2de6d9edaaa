#include "node/Placement.h"

#include <algorithm>
#include <utility>

namespace swiftlift::node {

namespace internal {

    [[nodiscard]] std::int64_t toSigned(std::uint64_t value) { return static_cast<std::int64_t>(value); }

    [[nodiscard]] placement::Catalogue catalogueOf(const Services& services, const FailureDomain& domain)
    {
        placement::Catalogue catalogue;
        for (const auto& name : services.fold().services()) {
            const ServiceDocumentPtr document = services.find(name);
            if (!document || document->kind != settings::BackendKind::Model || document->model.empty()) {
                continue;
            }
            auto& engines = catalogue[document->model];
            for (const auto& backend : document->backends) {
                if (backend.domain == domain) {
                    engines.push_back(backend.address);
                }
            }
        }
        for (auto& [model, engines] : catalogue) {
            std::sort(engines.begin(), engines.end());
            engines.erase(std::unique(engines.begin(), engines.end()), engines.end());
        }
        return catalogue;
    }

} // namespace internal

Placement::Placement(
    Context& context, const LogHealth& health, const Services& services, const routing::BackendTable& backends)
    : context_(context)
    , health_(health)
    , services_(services)
    , backends_(backends)
    , stream_(placement::ordersStream(context.settings().domain))
    , lease_(context.self(), {}, context.settings().seed)
{
}

void Placement::start() { follow(lease_.fold().nextOffset()); }

void Placement::follow(Offset from) { context_.emit(Follow { stream_, from }); }

void Placement::onRecords(const LogRecords& records)
{
    std::uint64_t offset = records.first.value();
    for (const auto& record : records.records) {
        const std::uint64_t expected = lease_.fold().nextOffset().value();
        if (offset > expected) {
            follow(lease_.fold().nextOffset());
            return;
        }
        if (offset == expected) {
            apply(Offset { offset }, record);
        }
        ++offset;
    }
    if (records.end && lease_.fold().nextOffset() >= *records.end) {
        lease_.onCaughtUp(context_.now());
    }
    handleLeaseChanges();
}

void Placement::apply(Offset offset, const std::string& bytes)
{
    const placement::Record record = placement::decode(bytes);
    lease_.onRecord(offset, record, context_.now());
    if (const auto* need = std::get_if<placement::Need>(&record)) {
        onNeed(*need);
    }
}

void Placement::onNeed(const placement::Need& need)
{
    for (const auto& model : need.models) {
        needSeenAt_[model] = context_.now();
        if (planner_) {
            planner_->onUnserved(model, context_.now());
        }
    }
}

void Placement::onExpired(Offset oldest)
{
    lease_.onExpired(oldest);
    handleLeaseChanges();
    follow(oldest);
}

void Placement::handleLeaseChanges()
{
    for (const auto& change : lease_.takeChanges()) {
        context_.log(LogLineBuilder("lease")
                         .with("change", placement::toText(change.kind))
                         .with("domain", context_.settings().domain.value())
                         .with("holder", toHex(change.holder.value()))
                         .with("own", change.holder == context_.self())
                         .with("fencing", internal::toSigned(change.fencing)));
        const bool leaseTermBegins
            = change.kind == placement::LeaseChangeKind::Taken || change.kind == placement::LeaseChangeKind::Resumed;
        if (leaseTermBegins) {
            beginLeaseTerm();
        } else {
            endLeaseTerm();
        }
    }
}

void Placement::beginLeaseTerm()
{
    // Another holder may have changed the engines' models since this router's last term: the planner starts from the
    // engines' load reports.
    planner_.emplace(placement::PlannerSettings {}, context_.now());
    catalogueAsOf_.reset();
    refreshCatalogue();
    // Needs that were reported while no router held the lease are not reported again: without this the models would be
    // loaded only after further refusals.
    for (const auto& [model, when] : needSeenAt_) {
        planner_->onUnserved(model, context_.now());
    }
    for (const auto& model : needs_) {
        planner_->onUnserved(model, context_.now());
    }
    needs_.clear();
}

void Placement::endLeaseTerm() { planner_.reset(); }

void Placement::refreshCatalogue()
{
    const Offset asOf = services_.fold().nextOffset();
    if (!planner_ || catalogueAsOf_ == asOf) {
        return;
    }
    catalogueAsOf_ = asOf;
    planner_->setCatalogue(internal::catalogueOf(services_, context_.settings().domain));
}

void Placement::onLoad(const BackendLoad& load)
{
    if (!planner_) {
        return;
    }
    if (!load.reachable) {
        planner_->onReportMissed(load.backend);
        return;
    }
    const auto view = backends_.view(load.backend, {}, context_.now());
    const std::uint32_t slots = view ? view->slots : 1;
    planner_->onReport({ load.backend, load.running, load.waiting, slots, load.models, load.leaving, load.generation },
        context_.now());
}

void Placement::onOrderAnswered(const OrderAnswered& answered)
{
    if (!answered.accepted && answered.fencing > lease_.fencing()) {
        lease_.onStale(answered.fencing);
        handleLeaseChanges();
    }
    if (planner_) {
        planner_->onAnswer(answered.backend, answered.accepted, context_.now());
    }
}

void Placement::onUnserved(const std::string& model)
{
    if (planner_) {
        planner_->onUnserved(model, context_.now());
    } else if (!model.empty() && needs_.size() < maxNeeds) {
        needs_.insert(model);
    }
}

void Placement::tick(bool takesPart)
{
    const bool eligible = takesPart && health_.reachable(context_.now());
    if (const auto claim = lease_.due(eligible, context_.now())) {
        context_.emit(Append { stream_, placement::encode(*claim) });
    }
    handleLeaseChanges();
    if (eligible) {
        appendNeeds();
    }
    planWhenDue();
    context_.gauge("swiftlift_order_lease_held", lease_.mayIssueOrders(context_.now()) ? 1 : 0);
}

void Placement::appendNeeds()
{
    const Instant now = context_.now();
    std::erase_if(needSeenAt_, [&](const auto& entry) { return now >= entry.second + needRepeatPause; });
    // Requests for a service without an engine may arrive at every router. One append per refusal would make the log
    // throttle all appends, the ledger's included. So one record names all models, and a model that any router has
    // reported is not reported again for a while.
    std::erase_if(needs_, [&](const auto& model) { return needSeenAt_.contains(model); });
    if (needs_.empty() || now < nextNeedRecord_) {
        return;
    }
    nextNeedRecord_ = now + needRecordPeriod;
    const placement::Need need { { needs_.begin(), needs_.end() } };
    for (const auto& model : need.models) {
        needSeenAt_[model] = now;
    }
    needs_.clear();
    context_.emit(Append { stream_, placement::encode(need) });
}

void Placement::planWhenDue()
{
    if (!planner_ || context_.now() < nextPlan_) {
        return;
    }
    nextPlan_ = context_.now() + planPeriod;
    refreshCatalogue();
    for (const auto& order : planner_->plan(context_.now())) {
        sendOrder(order);
    }
    logBlocked();
}

void Placement::sendOrder(const placement::Order& order)
{
    // The lease may expire while orders are sent, and another holder may already order something else. So the lease is
    // checked for each order; the next holder's plan has any order that is left out here.
    if (!lease_.mayIssueOrders(context_.now())) {
        return;
    }
    context_.log(LogLineBuilder("order")
                     .with("engine", order.backend.value())
                     .with("order", placement::toText(order.kind))
                     .with("name", order.model)
                     .with("fencing", internal::toSigned(lease_.fencing()))
                     .with("urgency", placement::toText(order.urgency))
                     .with("reason", placement::toText(order.reason))
                     .with("repeated", order.repeated)
                     .with("utilisation", order.utilisation)
                     .with("copies", internal::toSigned(order.copies))
                     .with("unserved", internal::toSigned(order.unserved)));
    context_.count("swiftlift_orders_total", { { "kind", placement::toText(order.kind) } });
    context_.emit(SendOrder { order.backend, lease_.fencing(), placement::toBody(order), lease_.until() });
}

void Placement::logBlocked()
{
    if (planner_->blocked().empty() || context_.now() < nextBlockedLog_) {
        return;
    }
    nextBlockedLog_ = context_.now() + blockedLogPeriod;
    for (const auto& blocked : planner_->blocked()) {
        context_.log(LogLineBuilder("order")
                         .with("order", "none")
                         .with("name", blocked.model)
                         .with("reason", "no engine of the domain can take it")
                         .with("unserved", internal::toSigned(blocked.unserved)));
    }
}

} // namespace swiftlift::node
