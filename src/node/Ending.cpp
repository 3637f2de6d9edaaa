#include "node/Ending.h"

namespace swiftlift::node {

void Ending::tick(bool stopping, const std::string& retiredReason, const OpenWork& open)
{
    const bool ending = stopping || !retiredReason.empty();
    if (!ending || over_ || open.requests > 0) {
        idleSince_.reset();
        return;
    }
    if (!idleSince_) {
        idleSince_ = context_.now();
    }
    // With the log out of reach the bills can't be handed over. Waiting for ever would keep a VM that has to go; what
    // is unread then stays held by its grants, so it can't be spent twice.
    const bool outOfPatience = context_.now() - *idleSince_ >= drainPatience;
    if (!open.drained && !outOfPatience) {
        return;
    }
    over_ = true;
    context_.log(LogLineBuilder("over")
                     .with("drained", open.drained)
                     .with("unread_items", static_cast<std::int64_t>(open.unreadItems)));
    if (stopping) {
        context_.emit(StopReady {});
    } else {
        context_.emit(Restart { retiredReason });
    }
}

} // namespace swiftlift::node
