#pragma once

#include "swiftlift/node/Core.h"
#include "swiftlift/settings/RouterSettings.h"
#include "swiftlift/transport/Decider.h"

namespace swiftlift::router {

/** The decision core, behind the interface that the decision thread drives. */
class CoreDecider : public transport::Decider {
public:
    explicit CoreDecider(node::CoreSettings settings);

    void start(Instant now, node::Actions& actions) override;
    void handle(const node::Event& event, Instant now, node::Actions& actions) override;

private:
    node::Core core_;
};

/** @return What the core is told at its start. */
[[nodiscard]] node::CoreSettings toCoreSettings(
    const settings::RouterSettings& settings, Incarnation incarnation, std::uint64_t seed);

} // namespace swiftlift::router
