#pragma once

#include <algorithm>
#include <chrono>

#include "transport/RunningAttempts.h"
#include "transport/StreamContext.h"

namespace swiftlift::transport::internal {

/**
 * @brief Reports that no backend server has sent anything for a while although requests run there.
 *
 * In a partition that drops packets, requests on kept connections only fall silent; the core has probes sent, which
 * show within a connection timeout what the requests would show after seconds.
 */
class SilenceDetector {
public:
    explicit SilenceDetector(StreamContext& context)
        : context_(context)
    {
    }

    /** To be called regularly with the running attempts. */
    template <typename Running> void sweep(RunningAttempts<Running>& running)
    {
        const auto now = std::chrono::steady_clock::now();
        const auto runs
            = std::ranges::any_of(running, [](auto& entry) { return entry.second.attempt->runsDirectly(); });
        if (!runs) {
            quietSince_ = now;
            return;
        }
        quietSince_ = std::max(quietSince_, context_.backendsHeardAt);
        if (now - quietSince_ >= silenceLimit) {
            quietSince_ = now;
            context_.decisions.pushOrDrop({ context_.incarnation, node::BackendsSilent {} });
        }
    }

private:
    /** Longer than the pauses in which a few streams of a sound server have no event. */
    static constexpr std::chrono::milliseconds silenceLimit { 300 };

    StreamContext& context_;
    /** When no request ran, a server was heard or a silence was reported last. */
    std::chrono::steady_clock::time_point quietSince_ {};
};

} // namespace swiftlift::transport::internal
