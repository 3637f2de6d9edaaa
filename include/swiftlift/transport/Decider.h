#pragma once

#include <functional>
#include <memory>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/node/Action.h"
#include "swiftlift/node/Event.h"

namespace swiftlift::transport {

/** Interface of the logic that runs in the decision thread: `node::Core` in the product, a test double in tests. */
class Decider {
public:
    Decider() = default;
    virtual ~Decider() = default;
    Decider(const Decider&) = delete;
    Decider& operator=(const Decider&) = delete;

    /**
     * @brief Called once, before the first event.
     * @param now Current time of the steady clock.
     * @param actions Receives the actions to execute.
     */
    virtual void start(Instant now, node::Actions& actions) = 0;
    /**
     * @brief Handles one event.
     * @param event The event.
     * @param now Current time of the steady clock; never earlier than in the previous call.
     * @param actions Receives the actions to execute.
     */
    virtual void handle(const node::Event& event, Instant now, node::Actions& actions) = 0;
};

/** Creates the decider of an incarnation. Called once at start and again after each retired incarnation. */
using DeciderFactory = std::function<std::unique_ptr<Decider>(Incarnation)>;

} // namespace swiftlift::transport
