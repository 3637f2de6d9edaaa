#pragma once

#include <functional>
#include <memory>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/node/Action.h"
#include "swiftlift/node/Event.h"

namespace swiftlift::transport {

/** What the decision thread drives: `node::Core` in the product, something smaller in tests. */
class Decider {
public:
    Decider() = default;
    virtual ~Decider() = default;
    Decider(const Decider&) = delete;
    Decider& operator=(const Decider&) = delete;

    virtual void start(Instant now, node::Actions& actions) = 0;
    virtual void handle(const node::Event& event, Instant now, node::Actions& actions) = 0;
};

/** Makes a decider for a life of this process; called again when an incarnation has been retired. */
using DeciderFactory = std::function<std::unique_ptr<Decider>(Incarnation)>;

} // namespace swiftlift::transport
