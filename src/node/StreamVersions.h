#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "node/Context.h"
#include "node/FleetDirectory.h"
#include "swiftlift/streams/VersionBook.h"

namespace swiftlift::node {

/** By which way the version at which a stream began is known. */
enum class VersionSource : std::uint8_t {
    Unknown,
    /** This router remembers the stream, was told of it or has read it in the log. */
    Remembered,
    /** A peer remembers the stream. */
    Keeper,
    /** The service had no other version, by the list of servers that the log had after the caller came. */
    OnlyVersion,
    /** The same, by the list of a peer that reaches the log. */
    PeersOnlyVersion,
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

/** A peer that asked for the version of a stream. */
struct VersionAsker {
    PeerAddress address;
    Incarnation incarnation;
    /** Number of its search. */
    std::uint64_t search = 0;
};

/**
 * @brief Finds out at which software version a stream began that a caller takes up again.
 *
 * The router at which a stream began remembers it. While a service has, or had lately, servers of several versions, or
 * the log is out of reach, it also tells the stream's keepers, which any router can name by the stream's id. While
 * there are several versions it records the stream in the log, which a router reads when it starts. A router that
 * doesn't know a stream takes the only version that the service had since before the stream can have begun, but only by
 * a list of servers that is complete up to a moment after the caller came: the stream began before that moment. Where
 * there are several versions, or the log doesn't answer, it asks the keepers.
 */
class StreamVersions {
public:
    using Listener = std::function<void(CallId, const FoundVersion&)>;

    /** @param listener Gets the results of searches; a result may come before search() returns. */
    StreamVersions(Context& context, FleetDirectory& fleet, Listener listener);

    /** A stream's first event was forwarded to the caller. */
    void onBegan(const StreamId& stream, const SoftwareVersion& version);
    /** A stream's last event was forwarded to the caller. */
    void onComplete(const StreamId& stream);
    /** Remembers streams that were read in the log. */
    void onRead(const std::map<StreamId, SoftwareVersion>& streams);
    /**
     * @brief Searches the version at which a stream began. The listener gets the result.
     * @param call The request that takes the stream up again.
     * @param stream The attempt that began the stream; empty: the caller doesn't say.
     * @param maxAge How long ago the stream may have begun.
     */
    void search(CallId call, const ServiceName& service, const StreamId& stream, Duration maxAge);
    /** Handles that a check of the list of servers may have ended. */
    void onListChecked();

    void on(const StreamsBegan& message);
    void on(const PeerReceived& event, const StreamVersionAsk& message);
    void on(const PeerReceived& event, const StreamVersionAnswer& message);
    void tick();

private:
    /** Number of keepers that are told of a stream. */
    static constexpr std::size_t keepersTold = 2;
    /** Number of keepers that are asked: the list of routers may have changed since they were told, and in a small
     * fleet the router at which the stream began is among them. */
    static constexpr std::size_t maxKeepersAsked = 8;
    /** Time for the keepers to answer. */
    static constexpr Duration answerTime = std::chrono::milliseconds(150);
    /** Time for the keepers to answer where there was only one version. A router that was cut off may have begun a
     * stream at a version that all others have forgotten. */
    static constexpr Duration memoryTime = std::chrono::milliseconds(50);
    /** Time for the log to say whether the list of servers is complete. */
    static constexpr Duration checkTime = std::chrono::milliseconds(500);
    /** Outages of the log that end within this time are not told to the keepers. A reset connection is one. */
    static constexpr Duration minOutage = std::chrono::milliseconds(500);
    static constexpr std::size_t maxOwnStreams = 16'384;
    static constexpr std::size_t maxKeptStreams = 16'384;

    /** A search that has not ended. */
    struct Search {
        std::variant<CallId, VersionAsker> asker;
        ServiceName service;
        /** Empty: not known. */
        StreamId stream;
        Duration maxAge {};
        /** Number of the check of the list of servers that began after the search. */
        std::uint64_t check = 0;
        Instant checkDeadline {};
        /** Keepers whose answer is awaited. */
        std::set<PeerAddress> awaited {};
        /** Keepers were asked for guesses as well. */
        bool guessesAsked = false;
        std::size_t asked = 0;
        Instant answerDeadline {};
        /** Until then, a keeper's memory goes before the only version. */
        Instant memoryDeadline {};
        /** What keepers answered that don't remember the stream. */
        std::set<SoftwareVersion> inferred {};
    };
    using Searches = std::map<std::uint64_t, Search>;

    [[nodiscard]] std::optional<SoftwareVersion> remembered(const StreamId& stream);
    void begin(Search&& started);
    /** Asks the stream's keepers, or for an unnamed stream any peers. @param infer They may answer with a guess. */
    void askKeepers(std::uint64_t number, Search& search, bool infer);
    /** @return The search's result; nullopt: it is still open. May ask the keepers. */
    [[nodiscard]] std::optional<FoundVersion> conclude(std::uint64_t number, Search& search);
    /** @return The version that all peers which answered infer, unless this router knows of another one. */
    [[nodiscard]] FoundVersion guessOf(const Search& search) const;
    /** Ends all searches that have a result. */
    void concludeAll();
    void finish(const Search& search, FoundVersion found);
    void answer(const VersionAsker& asker, const FoundVersion& found);
    /** @return True if the keepers are to be told of streams. */
    [[nodiscard]] bool keepersNeeded(bool several);
    /** Tells the keepers of streams that have begun. */
    void tellKeepers();
    [[nodiscard]] bool isSelf(const PeerAddress& address) const;

    Context& context_;
    FleetDirectory& fleet_;
    Listener listener_;
    streams::VersionBook own_;
    streams::VersionBook kept_;
    /** Own streams that the keepers were not told of. */
    std::vector<StreamVersion> untold_;
    /** The keepers are told of each stream. */
    bool telling_ = false;
    /** Each stream is recorded in the log. */
    bool recording_ = false;
    std::optional<Instant> logLostAt_;
    Searches searches_;
    std::uint64_t lastSearch_ = 0;
};

} // namespace swiftlift::node
