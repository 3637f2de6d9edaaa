#include "node/Placement.h"

#include <algorithm>
#include <utility>

namespace swiftlift::node {

namespace internal {

    [[nodiscard]] std::int64_t figure(std::uint64_t value) { return static_cast<std::int64_t>(value); }

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
    noteChanges();
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
        toldAt_[model] = context_.now();
        if (planner_) {
            planner_->onUnserved(model, context_.now());
        }
    }
}

void Placement::onExpired(Offset oldest)
{
    lease_.onExpired(oldest);
    noteChanges();
    follow(oldest);
}

void Placement::noteChanges()
{
    for (const auto& change : lease_.takeChanges()) {
        context_.log(LogLineBuilder("lease")
                         .with("change", placement::toText(change.kind))
                         .with("domain", context_.settings().domain.value())
                         .with("holder", toHex(change.holder.value()))
                         .with("own", change.holder == context_.self())
                         .with("fencing", internal::figure(change.fencing)));
        const bool begins
            = change.kind == placement::LeaseChangeKind::Taken || change.kind == placement::LeaseChangeKind::Resumed;
        if (begins) {
            beginLeaseTerm();
        } else {
            endLeaseTerm();
        }
    }
}

void Placement::beginLeaseTerm()
{
    // What was wished before a lapse may have been changed by another holder: the reports tell anew.
    planner_.emplace(placement::PlannerSettings {}, context_.now());
    catalogueAsOf_.reset();
    refreshCatalogue();
    // What was told before anybody had the lease is told once only: it would wait for the next refusals.
    for (const auto& [model, when] : toldAt_) {
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
        noteChanges();
    }
    if (planner_) {
        planner_->onAnswer(answered.backend, answered.accepted, context_.now());
    }
}

void Placement::onUnserved(const std::string& model)
{
    if (planner_) {
        planner_->onUnserved(model, context_.now());
    } else if (!model.empty() && needs_.size() < mostNeeds) {
        needs_.insert(model);
    }
}

void Placement::tick(bool takesPart)
{
    const bool eligible = takesPart && health_.reachable(context_.now());
    if (const auto claim = lease_.due(eligible, context_.now())) {
        context_.emit(Append { stream_, placement::encode(*claim) });
    }
    noteChanges();
    if (eligible) {
        tellNeeds();
    }
    planWhenDue();
    context_.gauge("swiftlift_order_lease_held", lease_.mayIssueOrders(context_.now()) ? 1 : 0);
}

void Placement::tellNeeds()
{
    const Instant now = context_.now();
    std::erase_if(toldAt_, [&](const auto& entry) { return now >= entry.second + needPause; });
    // What goes wrong: a service without an engine is asked for at every router, and each refusal is an append: the log
    // is throttled and the ledger with it. So one record names all models, and a model that anybody told of is not told
    // again for a while.
    std::erase_if(needs_, [&](const auto& model) { return toldAt_.contains(model); });
    if (needs_.empty() || now < nextNeed_) {
        return;
    }
    nextNeed_ = now + needPeriod;
    const placement::Need need { { needs_.begin(), needs_.end() } };
    for (const auto& model : need.models) {
        toldAt_[model] = now;
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
    // What goes wrong: the lease ran out while the plan was made, and the engine gets an order of a router whose
    // successor orders something else. So the lease is asked for each order; an order that is left out is due again in
    // the next plan of whoever has the lease then.
    if (!lease_.mayIssueOrders(context_.now())) {
        return;
    }
    context_.log(LogLineBuilder("order")
                     .with("engine", order.backend.value())
                     .with("order", placement::toText(order.kind))
                     .with("name", order.model)
                     .with("fencing", internal::figure(lease_.fencing()))
                     .with("urgency", placement::toText(order.urgency))
                     .with("reason", placement::toText(order.reason))
                     .with("repeated", order.repeated)
                     .with("utilisation", order.utilisation)
                     .with("copies", internal::figure(order.copies))
                     .with("unserved", internal::figure(order.unserved)));
    context_.count("swiftlift_orders_total", { { "kind", placement::toText(order.kind) } });
    context_.emit(SendOrder { order.backend, lease_.fencing(), placement::toBody(order), lease_.until() });
}

void Placement::logBlocked()
{
    if (planner_->blocked().empty() || context_.now() < nextBlocked_) {
        return;
    }
    nextBlocked_ = context_.now() + blockedPeriod;
    for (const auto& blocked : planner_->blocked()) {
        context_.log(LogLineBuilder("order")
                         .with("order", "none")
                         .with("name", blocked.model)
                         .with("reason", "no engine of the domain can take it")
                         .with("unserved", internal::figure(blocked.unserved)));
    }
}

} // namespace swiftlift::node
