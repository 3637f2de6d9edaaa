#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include "node/Context.h"

namespace swiftlift::node {

/** Work that has to be finished before an incarnation ends. */
struct OpenWork {
    /** Requests in progress. */
    std::size_t requests = 0;
    /** The ledger has no open grants, loans or items of this incarnation. */
    bool drained = false;
    /** Ledger items that have not been read back from the log. */
    std::size_t unreadItems = 0;
};

/** Decides when an incarnation that accepts no new requests has ended, and emits StopReady or Restart. */
class Ending {
public:
    explicit Ending(Context& context)
        : context_(context)
    {
    }

    /**
     * @brief To be called at each tick.
     * @param stopping The process is stopping and no longer accepts requests.
     * @param retiredReason Why the ledger retired the incarnation; empty: it did not.
     * @param open What is still unfinished.
     */
    void tick(bool stopping, const std::string& retiredReason, const OpenWork& open);

private:
    /** Maximum wait, once no request is in progress, until all tokens are returned to the ledger. */
    static constexpr Duration drainTimeout = std::chrono::seconds(10);

    Context& context_;
    std::optional<Instant> idleSince_;
    bool ended_ = false;
};

} // namespace swiftlift::node
