#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "node/Context.h"
#include "node/FleetDirectory.h"
#include "node/Peers.h"
#include "swiftlift/streams/VersionBook.h"

namespace swiftlift::node {

/** By which way the version at which a stream began is known. */
enum class VersionSource : std::uint8_t {
    Unknown,
    /** This router remembers the stream, was told of it or has read it in the log. */
    Remembered,
    /** A peer remembers the stream. */
    Keeper,
    /** A peer has answered with the only version that it knows. */
    PeersOnlyVersion,
    /** The service has had no other version since before the stream can have begun. */
    OnlyVersion,
};

[[nodiscard]] const char* toText(VersionSource source) noexcept;

/** The version at which a stream began. */
struct FoundVersion {
    /** nullopt: not known. */
    std::optional<SoftwareVersion> version;
    VersionSource source = VersionSource::Unknown;
    /** Number of peers that were asked, and of those that had answered. */
    std::size_t asked = 0;
    std::size_t answered = 0;
};

/**
 * @brief Finds out at which software version a stream began that a caller takes up again.
 *
 * The router at which a stream began remembers it. While a service has, or had lately, servers of several versions, it
 * also tells the stream's keepers, which any router can name by the stream's id, and records the stream in the log,
 * which a router reads when it starts. A router that doesn't know a stream asks the keepers. Where only one version was
 * registered since before the stream can have begun, that is its version.
 */
class StreamVersions {
public:
    using Listener = std::function<void(CallId, const FoundVersion&)>;

    /** @param listener Gets the results of pending searches. */
    StreamVersions(Context& context, const Peers& peers, FleetDirectory& fleet, Listener listener);

    /** A stream's first event was forwarded to the caller. */
    void onBegan(const StreamId& stream, const SoftwareVersion& version);
    /** A stream's last event was forwarded to the caller. */
    void onComplete(const StreamId& stream);
    /** Remembers streams that were read in the log. */
    void onRead(const std::map<StreamId, SoftwareVersion>& streams);
    /**
     * @brief Searches the version at which a stream began.
     * @param call The request that takes the stream up again.
     * @param maxAge How long ago the stream may have begun.
     * @return nullopt: peers were asked, and the listener gets the result.
     */
    [[nodiscard]] std::optional<FoundVersion> search(
        CallId call, const ServiceName& service, const StreamId& stream, Duration maxAge);
    /** @return The version of all streams of the service that began within this time, if it is known. */
    [[nodiscard]] FoundVersion onlyVersion(const ServiceName& service, Duration maxAge) const;

    void on(const StreamsBegan& message);
    void on(const PeerReceived& event, const StreamVersionAsk& message);
    void on(const PeerReceived& event, const StreamVersionAnswer& message);
    void tick();

private:
    /** Number of keepers that are told of a stream. */
    static constexpr std::size_t keepersTold = 2;
    /** Number of keepers that are asked: the list of routers may have changed since they were told. */
    static constexpr std::size_t keepersAsked = 4;
    /** Time for the keepers to answer. */
    static constexpr Duration answerTime = std::chrono::milliseconds(150);
    static constexpr std::size_t maxOwnStreams = 16'384;
    static constexpr std::size_t maxKeptStreams = 16'384;

    /** A search whose keepers have not all answered. */
    struct Pending {
        ServiceName service;
        Duration maxAge {};
        std::vector<CallId> calls;
        std::set<PeerAddress> awaited;
        std::size_t asked = 0;
        Instant deadline {};
    };

    [[nodiscard]] std::optional<SoftwareVersion> remembered(const StreamId& stream);
    void finish(const StreamId& stream, FoundVersion found);
    void finishOverdue();
    /** Tells the keepers of streams that have begun. */
    void tellKeepers();
    [[nodiscard]] bool isSelf(const PeerAddress& address) const;

    Context& context_;
    const Peers& peers_;
    FleetDirectory& fleet_;
    Listener listener_;
    streams::VersionBook own_;
    streams::VersionBook kept_;
    /** Own streams that the keepers were not told of. */
    std::vector<StreamVersion> untold_;
    /** The keepers are told of each stream. */
    bool telling_ = false;
    std::map<StreamId, Pending> pending_;
};

} // namespace swiftlift::node
