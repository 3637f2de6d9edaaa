#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>

#include "swiftlift/transport/LogDialect.h"
#include "swiftlift/transport/TaggedEvent.h"
#include "transport/LogEndpoints.h"

namespace swiftlift::transport::internal {

/** Reads one stream of the log from an offset on, by long polls in a thread of its own. */
class LogFollower {
public:
    /** Arguments that are passed by reference must outlive the follower. */
    LogFollower(const LogClientSettings& settings, const LogDialect& dialect, DecisionInbox& decisions,
        LogTraffic& traffic, Incarnation incarnation, node::Follow follow);
    /** Cancels the follower and waits until its thread has ended. An earlier cancel() shortens the wait. */
    ~LogFollower();
    LogFollower(const LogFollower&) = delete;
    LogFollower& operator=(const LogFollower&) = delete;

    /** Interrupts the current read or pause, so that the thread ends soon. Does not wait. */
    void cancel();

    /** Sets the pause between two reads, from the next one on. */
    void setPause(Duration pause) noexcept { pause_.store(pause); }
    /** Ends the pause before the next read; during a read, skips the pause after that read. */
    void expediteNextRead();

    /** @return Whether the thread has ended. */
    [[nodiscard]] bool ended() const noexcept { return ended_.load(); }

private:
    /** Pages of a list of all keys that were read so far. */
    struct PartialList {
        Instant begunAt;
        node::KeyedRecords records;
        /** The last key that was read. */
        std::string after;
        /** End offset of the first page. */
        std::optional<Offset> end;
    };

    void run();
    /**
     * @brief Makes a read of the stream.
     * @param request The request.
     * @param wait How long the log may wait for records before it answers.
     * @param factor Multiple of the usual limit that the read has beyond its wait.
     * @return The answer; nullopt with the reason in log_.lastReason().
     */
    [[nodiscard]] std::optional<HttpResponse> call(
        const HttpRequest& request, std::chrono::milliseconds wait, int factor = 1);
    /** @return Whether to read the newest record of each key next, and not the records after these. */
    [[nodiscard]] bool skipsToNewest(const LogRead& read, std::size_t bytes) const;
    /** @return Whether the read succeeded. */
    [[nodiscard]] bool readRecords();
    /** @return Whether all keys were read. */
    [[nodiscard]] bool readAllKeys();
    /** Adds a page to the list of all keys. @return Whether there are more pages. */
    [[nodiscard]] bool addPage(NewestRead&& page);
    /** @param readAt When the log answered, at the latest. */
    void handleRecords(LogRead&& read, Instant readAt);
    void handleExpiry(const LogGone& expired);
    void noteRecordSize(std::size_t bytes);
    void reduceRecordsPerRead();
    void reportUnreachable(std::string detail);
    void pushToDecisions(node::Event&& event);
    void pause(std::chrono::milliseconds limit);
    /** @return A random time from half of the backoff to all of it, so that the routers of a fleet don't retry
     * together. */
    [[nodiscard]] std::chrono::milliseconds jittered(std::chrono::milliseconds backoff);
    /** Like pause(), but ends early if the next read has been expedited. */
    void pauseUnlessExpedited(std::chrono::milliseconds limit);

    const LogClientSettings& settings_;
    const LogDialect& dialect_;
    DecisionInbox& decisions_;
    Incarnation incarnation_;
    node::Follow follow_;
    std::atomic<Duration> pause_;
    std::uint64_t nextOffset_;
    /** Whether all keys of a keyed stream must be read before the records that change them. */
    bool allKeysPending_;
    /** The list that a failed read left incomplete. */
    std::optional<PartialList> list_;
    /** Maximum number of records that the next read requests; reduced after reads without an answer. */
    std::uint32_t recordsPerRead_;
    /** Whether the log has records after those of the last read, so that the next read starts without a pause. */
    bool moreAvailable_ = false;
    /** The next read of records is answered at once, whether or not there are any: it shows what is the newest. */
    bool asksForEnd_ = false;
    /**
     * The stream has had a huge record. What follows is read only as far as it is small, and else the newest of each
     * key, so that versions in between are not read.
     */
    bool recordsAreHuge_ = false;
    /** When the log last refused a read because it had too much to do. */
    std::optional<Instant> refusedAt_;
    /** The last read has timed out, so that the next one has more time. */
    bool lastReadTimedOut_ = false;
    LogEndpoints log_;
    std::atomic<bool> cancelled_ = false;
    std::mutex pauseMutex_;
    std::condition_variable pauseEnded_;
    bool nextReadExpedited_ = false;
    std::minstd_rand random_;
    std::atomic<bool> ended_ = false;
    std::thread thread_;
};

} // namespace swiftlift::transport::internal
