#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "node/Context.h"
#include "swiftlift/node/KeyedRecords.h"
#include "swiftlift/streams/VersionRecord.h"

namespace swiftlift::node {

/**
 * @brief Keeps in the log at which software versions streams began, for a fleet whose routers all end at once.
 *
 * Each incarnation writes one record under keys of its own: the versions at which its streams may have begun, before
 * any stream begins there, and its streams while there are several versions. A router that starts reads all records
 * once. The records of an earlier incarnation of its VM are removed when their streams can't be taken up any more.
 */
class VersionRecords {
public:
    explicit VersionRecords(Context& context);

    /** Reads the records. */
    void start();
    /**
     * @brief Handles the records of all routers, read at this router's start or after changes were missed.
     * @return Their contents.
     */
    [[nodiscard]] std::vector<streams::VersionRecord> onRecords(const KeyedRecords& records);
    /** Handles that the log has executed the append in flight. */
    void onAppended();
    /** Handles that a read has failed, or that it isn't known whether the append in flight was executed. */
    void onLogFailure();

    /** @return True once the records from before this router's start have been read. */
    [[nodiscard]] bool known() const noexcept { return known_; }
    /** Sets the versions at which streams may have begun lately, or may begin from now on. */
    void setVersions(const streams::ServiceVersions& versions);
    /** @return Whether a record in the log names the version. */
    [[nodiscard]] bool isPublished(const ServiceName& service, const SoftwareVersion& version) const;

    /** Sets whether streams are recorded: there are several versions. */
    void setRecording(bool recording);
    /** A stream's first event was forwarded to the caller. */
    void add(const StreamId& stream, const SoftwareVersion& version);
    /** A stream's last event was forwarded to the caller. */
    void onComplete(const StreamId& stream);

    /**
     * @brief Writes what has changed.
     * @param period Time between two writes of streams.
     */
    void tick(Duration period);

    [[nodiscard]] static const StreamName& stream();

private:
    /** How long a complete stream is recorded: the end of its answer may still be under way to the caller. */
    static constexpr Duration completeLifetime = std::chrono::seconds(5);
    /** Time until a write that has failed is repeated. */
    static constexpr Duration retryDelay = std::chrono::milliseconds(500);
    /** With ids of the longest length, the record is half as large as the log allows. */
    static constexpr std::size_t maxStreams = 2'048;
    static constexpr std::size_t maxIdBytes = 60;

    /** A stream that is recorded. */
    struct Recorded {
        SoftwareVersion version;
        Instant until {};
    };

    /** An append whose result is not known yet. */
    struct Pending {
        std::string key;
        /** Versions that are published with it. */
        streams::ServiceVersions versions;
        bool removal = false;
    };

    [[nodiscard]] std::string key() const;
    void write();
    void removeKey(const std::string& key);
    void dropExpired();

    Context& context_;
    bool known_ = false;
    bool recording_ = false;
    /** The record differs from what was written last, in versions or in streams. */
    bool versionsChanged_ = false;
    bool streamsChanged_ = false;
    streams::ServiceVersions versions_;
    /** Versions that records in the log name: this incarnation's, or before its first one those that it has read. */
    streams::ServiceVersions published_;
    std::unordered_map<StreamId, Recorded> streams_;
    std::optional<Pending> pending_;
    /** Number in the key. A write that has failed may be executed late, and would replace a later one under its key. */
    std::uint32_t generation_ = 0;
    /** Keys that this router's later records replace. */
    std::deque<std::string> replaced_;
    /** Keys of earlier incarnations of this VM, and when they are removed. */
    std::vector<std::string> inherited_;
    Instant inheritedUntil_ {};
    Instant nextWrite_ {};
    Instant nextRetry_ {};
};

} // namespace swiftlift::node
