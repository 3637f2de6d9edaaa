#include "swiftlift/transport/DecisionLoop.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>
#include <variant>

namespace swiftlift::transport {

namespace {

    /** Events handled before the clock is looked at again, so that ticks come also under load. */
    constexpr int eventsPerRound = 256;

} // namespace

Instant steadyInstant() noexcept
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return Instant(std::chrono::duration_cast<Duration>(now));
}

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
    begin(incarnation_);
    while (!stopping_.load()) {
        const Duration untilTick = std::max(lastTick_ + tickInterval_ - steadyInstant(), Duration::zero());
        const auto limit = std::chrono::ceil<std::chrono::milliseconds>(untilTick);
        if (inbox_.wakeup().waitFor(limit)) {
            inbox_.wakeup().consume();
        }
        handleWaiting();
        tickWhenDue();
        sink_.flush();
    }
}

void DecisionLoop::begin(Incarnation incarnation)
{
    incarnation_ = incarnation;
    sink_.beginIncarnation(incarnation);
    decider_ = factory_(incarnation);
    lastTick_ = steadyInstant();
    decider_->start(lastTick_, actions_);
    carryOutAll();
}

void DecisionLoop::handleWaiting()
{
    for (int count = 0; count < eventsPerRound; ++count) {
        const auto tagged = inbox_.tryPop();
        if (!tagged) {
            return;
        }
        if (isForUs(*tagged)) {
            handle(tagged->event);
        }
    }
    // The ring may hold more than this round took, and nobody will signal for it again.
    inbox_.wakeup().signal();
}

void DecisionLoop::handle(const node::Event& event)
{
    decider_->handle(event, steadyInstant(), actions_);
    carryOutAll();
}

void DecisionLoop::tickWhenDue()
{
    if (const Instant now = steadyInstant(); now - lastTick_ >= tickInterval_) {
        lastTick_ = now;
        handle(node::Tick {});
    }
}

void DecisionLoop::carryOutAll()
{
    bool retired = false;
    for (auto& action : actions_) {
        if (std::holds_alternative<node::Restart>(action)) {
            retired = true;
        } else {
            sink_.execute(std::move(action));
        }
    }
    actions_.clear();
    if (retired) {
        replacements_.fetch_add(1);
        begin(drawIncarnation());
    }
}

bool DecisionLoop::isForUs(const TaggedEvent& tagged) const noexcept
{
    return tagged.incarnation == Incarnation {} || tagged.incarnation == incarnation_;
}

} // namespace swiftlift::transport
