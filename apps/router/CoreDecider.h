#pragma once

#include "swiftlift/node/Core.h"
#include "swiftlift/settings/RouterSettings.h"
#include "swiftlift/transport/Decider.h"

namespace swiftlift::router {

/** Adapts the decision core, node::Core, to the interface that the decision thread calls. */
class CoreDecider : public transport::Decider {
public:
    explicit CoreDecider(node::CoreSettings settings);

    void start(Instant now, node::Actions& actions) override;
    void handle(const node::Event& event, Instant now, node::Actions& actions) override;

private:
    node::Core core_;
};

/**
 * @brief Converts the settings of a router to the settings of its decision core.
 * @param incarnation Incarnation under which the core starts.
 * @param seed Seed of the core's random numbers.
 * @return The settings that the core is constructed with.
 */
[[nodiscard]] node::CoreSettings toCoreSettings(
    const settings::RouterSettings& settings, Incarnation incarnation, std::uint64_t seed);

} // namespace swiftlift::router
