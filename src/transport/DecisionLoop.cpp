#include "swiftlift/transport/DecisionLoop.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>
#include <variant>

namespace swiftlift::transport {

namespace {

    /** Maximum number of events handled between two checks of the clock, so that ticks are on time under load. */
    constexpr int maxEventsPerRound = 256;

} // namespace

Incarnation drawIncarnation()
{
    std::random_device device;
    std::uint64_t number = 0;
    while (number == 0) {
        number = (static_cast<std::uint64_t>(device()) << 32U) | device();
    }
    return Incarnation(number);
}

DecisionLoop::DecisionLoop(
    Incarnation first, DeciderFactory factory, DecisionInbox& inbox, ActionSink& sink, Duration tick)
    : incarnation_(first)
    , factory_(std::move(factory))
    , inbox_(inbox)
    , sink_(sink)
    , tickInterval_(tick)
{
}

DecisionLoop::~DecisionLoop() { stop(); }

void DecisionLoop::start()
{
    thread_ = std::thread([this] { run(); });
}

void DecisionLoop::stop()
{
    stopping_.store(true);
    inbox_.wakeup().signal();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void DecisionLoop::run()
{
    startIncarnation(incarnation_);
    while (!stopping_.load()) {
        const Duration untilTick = std::max(lastTick_ + tickInterval_ - steadyInstant(), Duration::zero());
        const auto limit = std::chrono::ceil<std::chrono::milliseconds>(untilTick);
        inbox_.delay().onIdle(lastTick_ + tickInterval_);
        if (inbox_.wakeup().waitFor(limit)) {
            inbox_.wakeup().consume();
        }
        handlePendingEvents();
        tickWhenDue();
        sink_.flush();
    }
}

void DecisionLoop::startIncarnation(Incarnation incarnation)
{
    incarnation_ = incarnation;
    sink_.beginIncarnation(incarnation);
    decider_ = factory_(incarnation);
    lastTick_ = steadyInstant();
    decider_->start(lastTick_, actions_);
    executeActions();
    if (stopRequestedAt_) {
        handle(node::StopRequested { stopRequestedAt_ }, lastTick_);
    }
}

void DecisionLoop::handlePendingEvents()
{
    for (int count = 0; count < maxEventsPerRound; ++count) {
        const auto tagged = inbox_.tryPop();
        if (!tagged) {
            return;
        }
        const Instant now = steadyInstant();
        noteDelay(tagged->arrivedAt, now);
        if (isForCurrentIncarnation(*tagged)) {
            handle(tagged->event, now);
        }
    }
    // The ring may hold further events, which were signalled before this round and would not be signalled again.
    inbox_.wakeup().signal();
}

void DecisionLoop::noteDelay(Instant arrivedAt, Instant now)
{
    inbox_.delay().onEvent(arrivedAt, now);
    longestDelay_ = std::max(longestDelay_, now - arrivedAt);
}

void DecisionLoop::handle(const node::Event& event, Instant now)
{
    if (const auto* stop = std::get_if<node::StopRequested>(&event); stop != nullptr && !stopRequestedAt_) {
        stopRequestedAt_ = stop->at.value_or(now);
    }
    decider_->handle(event, now, actions_);
    executeActions();
}

void DecisionLoop::tickWhenDue()
{
    if (const Instant now = steadyInstant(); now - lastTick_ >= tickInterval_) {
        noteDelay(lastTick_ + tickInterval_, now);
        lastTick_ = now;
        handle(node::Tick { std::exchange(longestDelay_, Duration {}) }, now);
    }
}

void DecisionLoop::executeActions()
{
    bool restartRequested = false;
    for (auto& action : actions_) {
        if (std::holds_alternative<node::Restart>(action)) {
            restartRequested = true;
        } else {
            sink_.execute(std::move(action));
        }
    }
    actions_.clear();
    if (restartRequested) {
        replacements_.fetch_add(1);
        startIncarnation(drawIncarnation());
    }
}

bool DecisionLoop::isForCurrentIncarnation(const TaggedEvent& tagged) const noexcept
{
    return tagged.incarnation == Incarnation {} || tagged.incarnation == incarnation_;
}

} // namespace swiftlift::transport
