#include "swiftlift/node/Core.h"

#include <utility>

#include "node/CoreState.h"

namespace swiftlift::node {

struct Core::State {
    explicit State(CoreSettings settings)
        : core(std::move(settings))
    {
    }

    CoreState core;
};

Core::Core(CoreSettings settings)
    : state_(std::make_unique<State>(std::move(settings)))
{
}

Core::~Core() = default;
Core::Core(Core&&) noexcept = default;
Core& Core::operator=(Core&&) noexcept = default;

void Core::start(Instant now, Actions& actions)
{
    state_->core.context().begin(now, actions);
    state_->core.start();
}

void Core::handle(const Event& event, Instant now, Actions& actions)
{
    CoreState& core = state_->core;
    core.context().begin(now, actions);
    core.beginEvent();
    std::visit([&core](const auto& happened) { core.on(happened); }, event);
    core.finishEvent();
}

} // namespace swiftlift::node
