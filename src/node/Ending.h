#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include "node/Context.h"

namespace swiftlift::node {

/** What there is to end before an incarnation is over. */
struct OpenWork {
    std::size_t requests = 0;
    /** Nothing of this incarnation is left open in the ledger. */
    bool drained = false;
    /** Ledger items that have not been read back. */
    std::size_t unreadItems = 0;
};

/** Decides when an incarnation that takes on nothing new any more is over. */
class Ending {
public:
    explicit Ending(Context& context)
        : context_(context)
    {
    }

    /**
     * @param stopping The process is to end.
     * @param retiredReason Why the incarnation was retired; empty: it was not.
     */
    void tick(bool stopping, const std::string& retiredReason, const OpenWork& open);

private:
    /** After a stop or retirement with the log out of reach: how long to wait for holdings to be given back. */
    static constexpr Duration drainPatience = std::chrono::seconds(10);

    Context& context_;
    std::optional<Instant> idleSince_;
    bool over_ = false;
};

} // namespace swiftlift::node
