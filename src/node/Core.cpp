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

    /** Calls `work` with the Gateway or CoreState, whichever the settings selected. */
    template <typename Work> void callSelected(const Work& work)
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
    state_->callSelected([&](auto& selected) {
        selected.context().begin(now, actions);
        selected.start();
    });
}

void Core::handle(const Event& event, Instant now, Actions& actions)
{
    state_->callSelected([&](auto& selected) {
        selected.context().begin(now, actions);
        selected.beginEvent();
        std::visit([&selected](const auto& alternative) { selected.on(alternative); }, event);
        selected.finishEvent();
    });
}

} // namespace swiftlift::node
