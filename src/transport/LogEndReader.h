#pragma once

#include <atomic>
#include <optional>
#include <string>
#include <thread>

#include "swiftlift/ring/Inbox.h"
#include "swiftlift/transport/LogDialect.h"
#include "swiftlift/transport/TaggedEvent.h"
#include "transport/LogEndpoints.h"

namespace swiftlift::transport::internal {

/**
 * @brief Asks the log for the ends of streams, in a thread of its own.
 *
 * A stream's follower can't be asked: its long poll may hang, or may have been answered before the end is asked for.
 */
class LogEndReader {
public:
    /** Arguments that are passed by reference must outlive the reader. */
    LogEndReader(
        const LogClientSettings& settings, const LogDialect& dialect, DecisionInbox& decisions, LogTraffic& traffic);
    ~LogEndReader();
    LogEndReader(const LogEndReader&) = delete;
    LogEndReader& operator=(const LogEndReader&) = delete;

    /** Asks for the end of a stream. Never blocks. The answer is an event with this incarnation. */
    void request(Incarnation incarnation, node::ReadEnd&& read);
    /** Ends the thread; the current call fails. */
    void stop();

private:
    struct Request {
        Incarnation incarnation;
        node::ReadEnd read;
    };

    void run();
    [[nodiscard]] node::StreamEnd readEnd(const node::ReadEnd& read);
    void pushToDecisions(Incarnation incarnation, node::StreamEnd&& end);

    const LogClientSettings& settings_;
    const LogDialect& dialect_;
    DecisionInbox& decisions_;
    LogEndpoints log_;
    ring::Inbox<Request> requests_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

} // namespace swiftlift::transport::internal
