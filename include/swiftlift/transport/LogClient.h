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

/** Addresses, timeouts and limits of the log client. */
struct LogClientSettings {
    /** Addresses of the log; after a failed call the next address is used. */
    std::vector<Endpoint> endpoints;
    /** How long the log may wait for new records before it answers a read with none (long poll). */
    std::chrono::milliseconds pollWait { 2'000 };
    /** Timeout of a read, in addition to pollWait. */
    std::chrono::milliseconds readLimit { 2'000 };
    /** Timeout of an append. */
    std::chrono::milliseconds appendLimit { 3'000 };
    /** Backoff after the first failed read. */
    std::chrono::milliseconds retryFirst { 200 };
    /** Maximum backoff; it doubles with each further failed read. */
    std::chrono::milliseconds retryMost { 2'000 };
    /** Maximum number of records that one read requests. */
    std::uint32_t recordsPerRead = 500;
};

/**
 * @brief Client of the platform's log: one thread for appends, one for ends of streams, and one for each stream that is
 * followed.
 *
 * Each successful read is reported to the core as LogRecords, even an empty one, so that the core can tell that the log
 * is reachable. A failed read is reported as LogUnreachable and retried with exponential backoff. An append is sent
 * once and never retried: if no answer comes, only reading the stream back shows whether the append took effect.
 */
class LogClient {
public:
    /** Arguments that are passed by reference must outlive the client. */
    LogClient(LogClientSettings settings, std::shared_ptr<const LogDialect> dialect, DecisionInbox& decisions,
        ControlTraffic& traffic);
    ~LogClient();
    LogClient(const LogClient&) = delete;
    LogClient& operator=(const LogClient&) = delete;

    /**
     * @brief Ends the followers of the earlier incarnation; later events carry the new incarnation.
     *
     * beginIncarnation(), follow(), pace(), readSoon(), append() and readEnd() are for the decision thread and never
     * block.
     */
    void beginIncarnation(Incarnation incarnation);
    /** Reads a stream from an offset on; replaces an earlier follower of the stream. */
    void follow(const node::Follow& follow);
    /** Sets the pause between two reads of the stream. Does nothing if the stream is not followed. */
    void pace(const StreamName& stream, Duration pause);
    /** Ends the pause before the stream's next read. Does nothing if the stream is not followed. */
    void readSoon(const StreamName& stream);
    /**
     * @param append The append to send; moved from only on success.
     * @return Whether the append was queued; false if the queue is full.
     */
    [[nodiscard]] bool append(node::Append& append);

    /** Asks for the end of a stream; the answer is a StreamEnd. The core makes one such call at a time. */
    void readEnd(node::ReadEnd&& read);

    /** Reports the calls since the previous report to the core, as LogCalls. For the decision thread; never blocks. */
    void reportCalls();

    /** Ends all threads. Pending reads and appends are cancelled. */
    void stop();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace swiftlift::transport
