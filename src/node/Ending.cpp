#include "node/Ending.h"

namespace swiftlift::node {

void Ending::tick(bool stopping, const std::string& retiredReason, const OpenWork& open)
{
    const bool ending = stopping || !retiredReason.empty();
    if (!ending || ended_ || open.requests > 0) {
        idleSince_.reset();
        return;
    }
    if (!idleSince_) {
        idleSince_ = context_.now();
    }
    // While the log is unreachable, bills can't be written and tokens can't be returned. Waiting without a limit would
    // keep a VM from stopping. Tokens of bills that were not read back stay held by their grants, so they can't be
    // spent twice.
    const bool waitedTooLong = context_.now() - *idleSince_ >= drainTimeout;
    if (!open.drained && !waitedTooLong) {
        return;
    }
    ended_ = true;
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
