#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/node/Action.h"
#include "swiftlift/transport/ControlTraffic.h"
#include "swiftlift/transport/Endpoint.h"
#include "swiftlift/transport/LogDialect.h"
#include "swiftlift/transport/TaggedEvent.h"

namespace swiftlift::transport {

struct LogClientSettings {
    /** Tried one after the other. */
    std::vector<Endpoint> endpoints;
    /** How long the log may hold an empty read back. */
    std::chrono::milliseconds pollWait { 2'000 };
    /** For a read, beyond pollWait. */
    std::chrono::milliseconds readLimit { 2'000 };
    std::chrono::milliseconds appendLimit { 3'000 };
    std::chrono::milliseconds retryFirst { 200 };
    std::chrono::milliseconds retryMost { 2'000 };
    std::uint32_t recordsPerRead = 500;
};

/**
 * @brief The platform's log: one thread for appends, one for each stream that is followed.
 *
 * Each read that succeeds is told as LogRecords, an empty one too, so that the core knows that the log is reachable.
 * A failed read is told as LogUnreachable and tried again, later and later. An append is made once: whether one without
 * an answer took effect is known only when the stream is read back.
 */
class LogClient {
public:
    /** What is given by reference outlives the client. */
    LogClient(LogClientSettings settings, std::shared_ptr<const LogDialect> dialect, DecisionInbox& decisions,
        ControlTraffic& traffic);
    ~LogClient();
    LogClient(const LogClient&) = delete;
    LogClient& operator=(const LogClient&) = delete;

    /** Ends the followers of an earlier incarnation. The functions here are for the decision thread, and never block.
     */
    void beginIncarnation(Incarnation incarnation);
    void follow(const node::Follow& follow);
    /** Ends the pause before the stream's next read; of a stream that is not followed nothing happens. */
    void readSoon(const StreamName& stream);
    /**
     * @param append Moved from only on success.
     * @return Whether there was room.
     */
    [[nodiscard]] bool append(node::Append& append);

    void stop();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace swiftlift::transport
