#include "swiftlift/node/Core.h"

#include <optional>
#include <utility>

#include "node/CoreState.h"
#include "node/Gateway.h"

namespace swiftlift::node {

struct Core::State {
    explicit State(CoreSettings settings)
    {
        if (settings.fleetCodec) {
            gateway.emplace(std::move(settings));
        } else {
            core.emplace(std::move(settings));
        }
    }

    /** Lets the composition that the settings ask for do something. */
    template <typename Work> void with(const Work& work)
    {
        if (gateway) {
            work(*gateway);
        } else {
            work(*core);
        }
    }

    std::optional<CoreState> core;
    std::optional<Gateway> gateway;
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
    state_->with([&](auto& composition) {
        composition.context().begin(now, actions);
        composition.start();
    });
}

void Core::handle(const Event& event, Instant now, Actions& actions)
{
    state_->with([&](auto& composition) {
        composition.context().begin(now, actions);
        composition.beginEvent();
        std::visit([&composition](const auto& happened) { composition.on(happened); }, event);
        composition.finishEvent();
    });
}

} // namespace swiftlift::node
