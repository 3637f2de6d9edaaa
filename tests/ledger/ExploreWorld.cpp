#include "ledger/ExploreWorld.h"

#include <algorithm>
#include <map>
#include <string_view>

#include <xxhash.h>

#include "ledger/ExploreText.h"

namespace swiftlift::ledger::explore {

namespace {

    using namespace std::chrono_literals;

    constexpr Incarnation operators { 1 };
    constexpr std::uint64_t firstNode = 10;

    Incarnation incarnationOf(std::size_t index) { return Incarnation { firstNode + index }; }
    std::size_t indexOf(Incarnation id) { return static_cast<std::size_t>(id.value() - firstNode); }

    BudgetRef budgetOf(std::size_t index)
    {
        return BudgetRef { AccountId { "hall" }, BudgetId { "desk-" + std::to_string(index) } };
    }

    std::uint64_t hashOf(const std::string& text) { return XXH64(text.data(), text.size(), 0); }

    std::shared_ptr<Fold> copyOf(const Fold& fold)
    {
        auto copy = std::make_shared<Fold>();
        if (!copy->restore(fold.checkpoint()))
            return nullptr;
        return copy;
    }

} // namespace

World::World(const Setup& setup, const FaultInjection& faults)
    : setup_(&setup)
    , faults_(&faults)
{
    append(Item { operators, 1, OpenAccount { budgetOf(0).account, "hash" } });
    for (std::size_t index = 0; index < setup.budgets; ++index)
        append(Item { operators, index + 2, TopUp { budgetOf(index), Tokens { setup.bought } } });
    for (std::size_t index = 0; index < setup.witnesses.size(); ++index) {
        auto node
            = std::make_shared<Node>(incarnationOf(index), std::make_unique<FixedPolicy>(setup), log_.back()->fold);
        node->position = log_.size();
        node->environment.logReachable = !setup.withoutLog.contains(index);
        if (const auto witness = setup.witnesses.at(index).front())
            node->environment.witness = incarnationOf(*witness);
        for (std::size_t other = 0; other < setup.witnesses.size(); ++other) {
            if (other != index)
                node->environment.lenders.push_back(incarnationOf(other));
        }
        LedgerActions none;
        tick(*node, none);
        node->ticks = 0;
        nodeHashes_.push_back(hashOf(node->text()));
        nodes_.push_back(std::move(node));
    }
    for (const std::size_t request : setup.initialRequests) {
        const Step step { StepKind::Request, setup.requests.at(request).node, request };
        execute(step);
        runUntilSettled();
        execute(step);
        runUntilSettled();
    }
}

void World::runUntilSettled()
{
    std::set<std::string> delivered;
    const auto next = [&]() -> std::optional<Step> {
        for (const Step& step : enabled()) {
            if (step.kind == StepKind::Land || step.kind == StepKind::Read)
                return step;
            if (step.kind == StepKind::Deliver && delivered.insert(messages_.at(step.index)->text).second)
                return step;
        }
        return {};
    };
    while (const std::optional<Step> step = next())
        execute(*step);
}

Node& World::copyForChange(std::size_t index)
{
    auto copy = std::make_shared<Node>(*nodes_.at(index));
    Node& changed = *copy;
    nodes_.at(index) = std::move(copy);
    return changed;
}

std::vector<Step> World::enabled() const
{
    std::vector<Step> steps;
    for (std::size_t index = 0; index < nodes_.size(); ++index)
        enabledAt(index, steps);
    for (std::size_t index = 0; index < messages_.size(); ++index) {
        if (const std::size_t to = messages_.at(index)->to; !nodes_.at(to)->crashed)
            steps.push_back(Step { StepKind::Deliver, to, index });
    }
    return steps;
}

void World::enabledAt(std::size_t index, std::vector<Step>& steps) const
{
    const Node& node = *nodes_.at(index);
    if (!node.outbox.empty())
        steps.push_back(Step { StepKind::Land, index, 0 });
    if (node.crashed)
        return;
    for (std::size_t request = 0; request < setup_->requests.size(); ++request) {
        if (setup_->requests.at(request).node == index && !node.started.contains(request))
            steps.push_back(Step { StepKind::Request, index, request });
    }
    for (std::size_t running = 0; running < node.running.size(); ++running) {
        steps.push_back(Step { StepKind::Answer, index, running });
        if (setup_->mayRelease)
            steps.push_back(Step { StepKind::Release, index, running });
    }
    if (node.position < log_.size())
        steps.push_back(Step { StepKind::Read, index, 0 });
    if (node.ticks < setup_->ticks.at(index))
        steps.push_back(Step { StepKind::Tick, index, 0 });
    if (setup_->mayCrash.contains(index))
        steps.push_back(Step { StepKind::Crash, index, 0 });
    if (node.witnessChoice + 1 < setup_->witnesses.at(index).size())
        steps.push_back(Step { StepKind::Witness, index, 0 });
    if (setup_->mayStop.contains(index) && !node.environment.stopping)
        steps.push_back(Step { StepKind::Stop, index, 0 });
    for (const auto& [suspecting, suspectedNode] : setup_->maySuspect) {
        if (suspecting == index && !node.suspected.contains(suspectedNode))
            steps.push_back(Step { StepKind::Suspect, index, suspectedNode });
    }
}

void World::execute(const Step& step)
{
    const std::shared_ptr<const Message> message = step.kind == StepKind::Deliver ? messages_.at(step.index) : nullptr;
    Node& node = copyForChange(step.node);
    LedgerActions actions;
    switch (step.kind) {
    case StepKind::Request:
        request(node, step.index, actions);
        break;
    case StepKind::Answer:
    case StepKind::Release: {
        const Running done = node.running.at(step.index);
        node.running.erase(node.running.begin() + static_cast<std::ptrdiff_t>(step.index));
        if (step.kind == StepKind::Release) {
            node.holder.release(done.reservation, actions);
            break;
        }
        node.answered.push_back(done);
        node.holder.settle(done.reservation, done.actual, actions);
        break;
    }
    case StepKind::Land: {
        const Item item = node.outbox.front();
        node.outbox.erase(node.outbox.begin());
        append(item);
        break;
    }
    case StepKind::Read:
        read(node, actions);
        break;
    case StepKind::Deliver:
        deliver(node, *message, actions);
        break;
    case StepKind::Tick:
        tick(node, actions);
        break;
    case StepKind::Crash:
        node.crashed = true;
        break;
    case StepKind::Suspect:
        node.suspected.insert(step.index);
        node.witness.suspect(incarnationOf(step.index), actions);
        break;
    case StepKind::Witness: {
        const auto witness = setup_->witnesses.at(step.node).at(++node.witnessChoice);
        node.environment.witness = witness ? std::optional(incarnationOf(*witness)) : std::nullopt;
        node.holder.onTick(node.now, node.environment, actions);
        break;
    }
    case StepKind::Stop:
        node.environment.stopping = true;
        node.holder.onTick(node.now, node.environment, actions);
        break;
    }
    emit(step.node, std::move(actions));
    nodeHashes_.at(step.node) = hashOf(node.text());
}

void World::request(Node& node, std::size_t index, LedgerActions& actions)
{
    const ScriptedRequest& script = setup_->requests.at(index);
    const auto result
        = node.holder.reserve(budgetOf(script.budget), RequestKey { 0, script.key }, script.amount, node.now, actions);
    if (const auto* const reservation = std::get_if<Reservation>(&result)) {
        node.started.insert(index);
        node.running.push_back(Running { *reservation, script.actual });
    }
}

void World::append(const Item& item)
{
    auto record = std::make_shared<Record>();
    record->batch = Batch { rulesVersion, { item } };
    const std::shared_ptr<Fold> fold = log_.empty() ? std::make_shared<Fold>() : copyOf(*log_.back()->fold);
    if (!fold || !fold->apply(fold->nextOffset(), record->batch, record->effects))
        brokenRule_ = "the fold refused a record";
    for (const Effect& effect : record->effects) {
        const auto* const refused = std::get_if<Refused>(&effect);
        if (refused && std::holds_alternative<Bill>(item.entry))
            brokenRule_ = "the fold refused a bill: " + refused->reason;
    }
    if (const std::string finding = fold->inconsistency(); !finding.empty())
        brokenRule_ = finding;
    record->fold = fold;
    log_.push_back(std::move(record));
    logHash_ = hashOf(std::to_string(logHash_) + std::to_string(item.origin.value()) + textOf(item.entry));
}

void World::read(Node& node, LedgerActions& actions)
{
    const std::shared_ptr<const Record> record = log_.at(node.position);
    node.advanceTo(record->fold);
    for (const Effect& effect : record->effects) {
        node.witness.onEffect(effect, actions);
        node.holder.onEffect(effect, node.now, actions);
    }
}

void World::deliver(Node& node, const Message& message, LedgerActions& actions)
{
    const Incarnation from = incarnationOf(message.from);
    Holder& holder = node.holder;
    const Instant now = node.now;
    if (const auto* const raise = std::get_if<SendRaise>(&message.body)) {
        node.witness.onRaise(from, raise->ceilings, actions);
        actions = faults_->onRaise(node, *raise, from, std::move(actions));
    } else if (const auto* const acked = std::get_if<SendCeilingsAcked>(&message.body)) {
        holder.onCeilingsAcked(faults_->acknowledgedBy(node, *acked, from), acked->ceilings, now, actions);
    } else if (const auto* const refused = std::get_if<SendCeilingsRefused>(&message.body)) {
        holder.onCeilingsRefused(from, refused->grants, now, actions);
    } else if (const auto* const ask = std::get_if<SendLoanAsk>(&message.body)) {
        holder.onLoanAsk(from, ask->loan, ask->budget, ask->amount, now, actions);
    } else if (const auto* const given = std::get_if<SendLoanGiven>(&message.body)) {
        holder.onLoanGiven(
            from, given->loan, given->budget, given->grant, given->amount, now, actions, given->holderOnly);
    } else if (const auto* const denied = std::get_if<SendLoanDenied>(&message.body)) {
        holder.onLoanDenied(from, denied->loan, denied->budget, denied->free, now, actions);
    } else if (const auto* const done = std::get_if<SendLoanDone>(&message.body)) {
        holder.onLoanDone(from, done->loan, faults_->billedOnLoan(*done), now, actions);
    } else if (const auto* const doneAcked = std::get_if<SendLoanDoneAcked>(&message.body)) {
        holder.onLoanDoneAcked(from, doneAcked->loan, now, actions);
    }
}

void World::tick(Node& node, LedgerActions& actions)
{
    ++node.ticks;
    node.now += 2s;
    node.holder.onTick(node.now, node.environment, actions);
}

void World::emit(std::size_t index, LedgerActions actions)
{
    Node& node = const_cast<Node&>(*nodes_.at(index));
    for (LedgerAction& action : actions) {
        if (auto* const entry = std::get_if<AppendEntry>(&action)) {
            LedgerActions more;
            if (const auto effect = faults_->assumedEffect(node, entry->entry)) {
                node.holder.onEffect(Landed { node.id, node.sequence + 1 }, node.now, more);
                node.holder.onEffect(*effect, node.now, more);
            }
            node.outbox.push_back(Item { node.id, ++node.sequence, std::move(entry->entry) });
            emit(index, std::move(more));
            continue;
        }
        std::visit(
            [&](auto& other) {
                using Kind = std::decay_t<decltype(other)>;
                if constexpr (std::is_constructible_v<PeerBody, Kind>)
                    send(index, other.to, other);
            },
            action);
    }
}

void World::send(std::size_t from, Incarnation to, PeerBody body)
{
    auto message = std::make_shared<Message>(Message { from, indexOf(to), std::move(body), {}, 0 });
    message->text = textOf(*message);
    message->hash = hashOf(message->text);
    const auto textOfMessage = [](const auto& sent) { return std::string_view(sent->text); };
    const auto place = std::ranges::lower_bound(messages_, std::string_view(message->text), {}, textOfMessage);
    if (place != messages_.end() && (*place)->text == message->text)
        return;
    messagesHash_ += message->hash;
    messages_.insert(place, std::move(message));
}

std::string World::violation() const
{
    if (std::string overspend = overspent(); !overspend.empty())
        return overspend;
    if (!brokenRule_.empty())
        return brokenRule_;
    for (const auto& node : nodes_) {
        if (!node->crashed && exceedsCeiling(*node))
            return "a holding is above its ceiling";
    }
    return {};
}

bool World::exceedsCeiling(const Node& node) const
{
    return std::ranges::any_of(node.holder.holdings(), [&](const HoldingView& view) {
        const Tokens charge = view.billed + view.reserved + view.lent;
        const auto grant = log_.back()->fold->grant(view.grant);
        const bool pastSeal
            = grant && view.grant.holder == node.id && grant->state == GrantState::Sealed && charge > grant->ceiling;
        return charge > view.ceiling || pastSeal;
    });
}

std::string World::overspent() const
{
    std::map<BudgetRef, std::map<RequestKey, Tokens>> spent;
    const auto spend = [&](const Running& request) {
        Tokens& tokens = spent[request.reservation.budget][request.reservation.key];
        tokens = std::max(tokens, request.actual);
    };
    for (const auto& node : nodes_) {
        std::ranges::for_each(node->answered, spend);
        if (!node->crashed)
            std::ranges::for_each(node->running, spend);
    }
    for (const auto& [budget, requests] : spent) {
        Tokens sum;
        for (const auto& [key, tokens] : requests)
            sum += tokens;
        if (sum > Tokens { setup_->bought })
            return "overspent: " + std::to_string(sum.value()) + " of " + std::to_string(setup_->bought);
    }
    return {};
}

std::uint64_t World::hash() const
{
    std::string text = std::to_string(logHash_);
    for (const std::uint64_t hash : nodeHashes_)
        text += ' ' + std::to_string(hash);
    text += ' ' + std::to_string(messagesHash_);
    return hashOf(text);
}

std::string World::describe(const Step& step) const
{
    static const char* const names[]
        = { "request", "answer", "release", "land", "read", "deliver", "tick", "crash", "suspect", "witness", "stop" };
    std::string text = "node " + std::to_string(step.node) + ' ' + names[static_cast<std::size_t>(step.kind)];
    const Node& node = *nodes_.at(step.node);
    if (step.kind == StepKind::Deliver)
        return text + ' ' + messages_.at(step.index)->text;
    if (step.kind == StepKind::Land)
        return text + ' ' + textOf(node.outbox.front().entry);
    if (step.kind == StepKind::Read)
        return text + ' ' + textOf(log_.at(node.position)->batch.items.front().entry);
    return text + ' ' + std::to_string(step.index);
}

} // namespace swiftlift::ledger::explore
