#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/routing/Announcement.h"
#include "swiftlift/routing/BackendFacts.h"
#include "swiftlift/routing/FleetShare.h"
#include "swiftlift/routing/ServerLoad.h"

namespace swiftlift::routing {

namespace internal {
    class AnnouncementBook;
    struct KnownAnnouncement;
    struct RequestStatistics;
    class RoomRouters;
} // namespace internal

class Backend;
struct EndedAttempt;
class FleetLoad;
class PrefillModel;
class PrefixLengths;

/** @brief Parameters by which the table estimates load and availability of backend servers. */
struct TableSettings {
    /** Seed of the jitter of circuit breakers. */
    std::uint64_t seed = 1;
    /** Assumed age of a load report's figures at its arrival. */
    Duration reportLag = std::chrono::milliseconds(300);
    /** A load report older than this is ignored. */
    Duration reportLifetime = std::chrono::seconds(5);
    /** Consecutive failures that open the circuit breaker. */
    std::uint32_t breakerFailures = 3;
    /** How long the breaker stays open the first time; doubled each time it opens again before the server has answered
     * after a complete slow start. */
    Duration breakerFirstOpen = std::chrono::seconds(1);
    /** Maximum time that the breaker stays open, apart from jitter. */
    Duration breakerLongestOpen = std::chrono::seconds(30);
    /** How long the number of concurrent requests grows from one to the slots, after the breaker closes or the backend
     * server restarts. */
    Duration slowStart = std::chrono::seconds(10);
    /** How long nothing is sent to a backend server after it refused a request as full. */
    Duration fullPause = std::chrono::milliseconds(100);
    /** How long a backend server counts as leaving when its load reports don't confirm it. */
    Duration leavingHold = std::chrono::seconds(30);
    /** Maximum number of prefixes remembered for each backend server. */
    std::size_t prefixesKept = 2048;
    /** Maximum number of prefixes remembered for all backend servers together, which bounds the table's memory. */
    std::size_t prefixesInAll = 65'536;
    /** Requests that an engine is assumed to run at once until a load report shows requests that wait there. */
    std::uint32_t assumedSlots = 8;
    /** Assumed prefill time of one uncached prompt token until enough first tokens have been measured. */
    Duration assumedPrefillPerToken = std::chrono::microseconds(20);
    /** True if backend servers are polled for load reports: a refusal by a server that never sent a report then counts
     * as a failure. */
    bool polled = true;
    /** Assumed duration of an engine step until a load report states it. */
    Duration assumedStep = std::chrono::milliseconds(3);
    /** Assumed time for which a request occupies a slot until requests have completed. */
    Duration assumedHold = std::chrono::milliseconds(500);
    /** Time after which a limit that a backend server named counts as unconfirmed. */
    Duration limitConfirmation = std::chrono::seconds(1);
};

/** @brief A change of what is known of a backend server's announcements. */
struct AnnouncementChange {
    BackendId backend;
    /** Requests per second that it accepts from all routers together; nullopt: it names no limit, or no more. */
    std::optional<double> limit;
    /** Time since it was last known to name this limit, or none; nullopt: nothing is known of its limit. */
    std::optional<Duration> limitAge;
    /** Requests that it can turn away in a second without crashing; nullopt: it is not brittle, or no more. */
    std::optional<double> brittle;
    /** It stops serving soon. */
    bool leaving = false;
    /** Another router told this one. */
    bool fromPeer = false;
};

/** @brief Which place of a brittle server's room a request was sent for. */
enum class RoomPlace : std::uint8_t {
    /** One of the router's own part, which it took for free. */
    Part,
    /** One that may be free or not: beyond its part, or more than the server was known to have room for. */
    Trial,
};

/** @brief What a router takes for its room at a brittle backend server. */
struct RoomFacts {
    /** Places that are this router's own, by the list of routers. */
    std::uint32_t part = 0;
    /** Requests that it may have in progress there without a trial; lower than `part` after refusals. */
    std::uint32_t level = 0;
    /** Requests that have ended for this router and may still run there. */
    std::uint32_t held = 0;
    /** Routers among which the room is divided. */
    std::uint32_t routers = 0;
    /** Time since their list last changed; nullopt: there is none. */
    std::optional<Duration> listAge;
    /** Memory of this router's requests in progress there, at most. */
    Tokens memory;
    /** Memory of the server; nullopt: not known, or not an engine. */
    std::optional<Tokens> serverMemory;
};

/** @brief A brittle backend server turned a request of this router away. */
struct TurnedAway {
    BackendId backend;
    /** Requests that it can turn away in a second without crashing. */
    double bearable = 0;
    /** Requests of this router that go on there. */
    std::uint32_t inFlight = 0;
    /** Requests that the server runs at once. */
    std::uint32_t slots = 0;
    /** Time since it was last known to have turned a request away before, of any router; nullopt: never. */
    std::optional<Duration> sinceLast;
    RoomPlace place = RoomPlace::Part;
    RoomFacts room {};
    /** Memory of the request, at most; 0: not known. */
    Tokens requestMemory {};
};

/** @brief Availability of a backend server; Broken and Probing are states of its circuit breaker. A Cold server has
 * just started and bears few requests; a Limited one names how many it accepts; the failure domain of an Evacuated one
 * gets none. */
enum class BackendState : std::uint8_t { Up, SlowStart, Cold, Limited, Probing, Broken, Evacuated, Leaving };

/** @brief Estimated present state of a backend server, for selectors and operators. */
struct BackendView {
    BackendId backend;
    FailureDomain domain;
    /** Version of the server's software. */
    SoftwareVersion version;
    BackendState state = BackendState::Up;
    /** Requests that run there: the last load report, corrected by what this router dispatched and finished since. */
    std::uint32_t running = 0;
    /** Requests that wait there, estimated in the same way. */
    std::uint32_t waiting = 0;
    /** Attempts of this router in progress there. */
    std::uint32_t inFlight = 0;
    /** Estimated number of requests that the backend server runs at once. */
    std::uint32_t slots = 0;
    /** Tokens of the request's prompt that are expected in the prefix cache. */
    Tokens cachedTokens;
    /** Predicted time to first token of the request. */
    Duration predictedFirstToken {};
    /** Predicted prefill time of the prompts that this router has sent there and that have no first token yet. */
    Duration unread {};
    /** Predicted prefill time of the shared part of the request's prompt, if it is not cached. */
    Duration sharedPart {};
    /** Moving average of the difference between predicted and measured time to first token. */
    Duration predictionError {};
    /** False if nothing may be sent there now. */
    bool usable = false;
    /** True if the backend server answers and has a free slot: it may be used in spite of an open breaker if no other
     * is left. */
    bool lastResort = false;
    /** True if a request sent now would be the breaker's only probe. */
    bool probe = false;
    /** Earliest time at which the backend server may become usable; nothing if it is leaving. */
    std::optional<Instant> usableAt;
    /** Time since the last load report arrived; nothing if there was none. */
    std::optional<Duration> reportAge;
    /** Why this router has sent its share of what the backend server accepts; nullopt: it has not. */
    std::optional<LimitCause> heldBackBy;
    /** True if a brittle server may have to turn the request away, as this router has filled its part of the room. */
    bool roomUncertain = false;
    /** True if the backend server has asked this router for rest. */
    bool resting = false;
    /** Requests per second that the backend server accepts from all routers, if it names a limit. */
    std::optional<double> announcedLimit;
    /** True if no answer has lately shown whether the backend server still names its limit. */
    bool limitUnconfirmed = false;
    /** The other routers' requests there; nullopt: the load of the fleet is not known. */
    std::optional<PeerLoad> peers;
    /** This router's requests there. */
    ServerLoad own;
    /** Names the server's instance. */
    ServerKey key;
    /** Hash of `backend`, the same in every process. */
    std::uint64_t nameHash = 0;
    /** Estimated duration of an engine step. */
    Duration step {};
    /** Mean time for which a request occupies a slot. */
    Duration runTime {};
    /** Prefill time of 1,000 uncached prompt tokens at a server of median speed. */
    Duration prefillPer1000 {};
    /** Mean time between two events of a stream there, as observed by any router; nullopt: not known. */
    std::optional<Duration> pace;
    /** Tokens of all requests that the engine's memory holds; nullopt: not known, or not an engine. */
    std::optional<Tokens> memory;
    /** False if the backend server reported its models and the request's model is not among them. */
    bool servesModel = true;
};

/** @brief The request for which a view's predictions are made. */
struct ViewRequest {
    /** Empty if any model will do. */
    std::string model;
    /** Hash of the beginning of the prompt; 0 if the request has no prefix. */
    std::uint64_t prefixHash = 0;
    Tokens promptTokens;
    /** Prompt tokens that other requests share and that a home of the prefix has cached. */
    Tokens sharedTokens = {};
};

/**
 * @brief Estimates the state of each backend server: load from lagged reports corrected by this router's own traffic,
 * circuit breaker, and cached prefixes.
 */
class BackendTable {
public:
    explicit BackendTable(TableSettings settings = {});
    ~BackendTable();
    BackendTable(BackendTable&&) noexcept;
    BackendTable& operator=(BackendTable&&) noexcept;

    /** @brief Sets the backend servers of a service; an empty list removes the service. A backend server may serve
     * several services. */
    void setBackends(const ServiceName& service, const std::vector<BackendEntry>& backends, Instant now);

    /**
     * @brief Sets the routers among which limits of backend servers are divided.
     * @param self This router.
     * @param routers All registered routers.
     */
    void setRouters(const PeerAddress& self, std::vector<PeerAddress> routers, Instant now);

    /** @param load View of the other routers' requests, which outlives the table; null: none, views have no `peers`. */
    void setFleetLoad(const FleetLoad* load) noexcept { fleetLoad_ = load; }
    /** @return This router's requests at each backend server that has any, or whose pace was observed since the last
     * call, to be reported to other routers. */
    [[nodiscard]] std::vector<ServerLoadEntry> takeOwnLoads();

    /** @brief Processes what a backend server states about itself in the head of an answer. */
    void onAnnounced(const BackendId& backend, const Announcement& announcement, Instant now);
    /** @brief Processes what another router knows of backend servers' announcements. */
    void onShared(const std::vector<SharedAnnouncement>& shared, Instant now);
    /** @return What to tell another router now. */
    [[nodiscard]] std::vector<SharedAnnouncement> toShare(Instant now) const;
    [[nodiscard]] AnnouncementCounts announcementCounts(Instant now) const;
    /** @return True if a brittle server has turned a request away since the last call, which peers have to know at
     * once: each of them could send it one more. */
    [[nodiscard]] bool takeUrgentNews() noexcept;
    /** @return Changes of what is known of announcements since the last call, in order. */
    [[nodiscard]] std::vector<AnnouncementChange> takeAnnouncementChanges();
    /** @return Requests that brittle servers turned away since the last call, in order. */
    [[nodiscard]] std::vector<TurnedAway> takeTurnedAway();

    /** @brief Processes a load report. */
    void onLoad(const BackendId& backend, const LoadReport& report, Instant now);
    /** @brief Counts a failed poll of the backend server's load as a failure. */
    void onLoadMissed(const BackendId& backend, Instant now);
    /** @brief Updates the cached prefixes of the backend server. */
    void onCacheEvents(const BackendId& backend, const std::vector<CacheNotice>& events, Instant now);
    /** @brief Records that an attempt was sent to the backend server. */
    void onDispatched(const BackendId& backend, AttemptId attempt, const DispatchFacts& facts, Instant now);
    /** @brief Records the first token of an attempt. */
    void onFirstToken(const BackendId& backend, AttemptId attempt, Instant now);
    /** @brief Records the end of an attempt. */
    void onFinished(const BackendId& backend, AttemptId attempt, const FinishFacts& facts, Instant now);
    /** @brief Records that the backend server announced in any way that it is leaving: no requests go there any more.
     */
    void onLeaving(const BackendId& backend, Instant now);
    /** @brief Forgets failures: this router's links are lost, so its attempts showed nothing of the servers. */
    void onLinksLost();
    /** @brief Removes backend servers that no service lists any more and that run no attempt of this router. */
    void tick(Instant now);
    /** @return Views of all backend servers of a service, in order of their addresses. */
    [[nodiscard]] std::vector<BackendView> views(
        const ServiceName& service, const ViewRequest& request, Instant now) const;
    /** @return View of one backend server of any service; nothing if the table has no such server. */
    [[nodiscard]] std::optional<BackendView> view(
        const BackendId& backend, const ViewRequest& request, Instant now) const;
    /** @return All backend servers in the table, in order of their addresses. */
    [[nodiscard]] std::vector<BackendId> backends() const;
    /** @return The backend servers of a service, in order of their addresses. */
    [[nodiscard]] std::vector<BackendId> backendsOf(const ServiceName& service) const;
    /** @return The models of the backend server's last load report. */
    [[nodiscard]] std::vector<std::string> modelsOf(const BackendId& backend) const;

private:
    [[nodiscard]] Backend* find(const BackendId& backend) const;
    void removeUnlisted();
    void distributePrefixCapacity();
    /** @brief Records a change for takeAnnouncementChanges(), and applies it to the backend server. */
    void announcementChanged(const BackendId& backend, bool fromPeer, Instant now);
    /** @brief Processes that the backend server turned a request of this router away. */
    void onTurnedAway(Backend& backend, const EndedAttempt& attempt, Instant now);
    /** @brief Applies what the backend server has stated about itself. */
    void applyAnnouncement(Backend& backend, Instant now) const;
    /** @brief Divides what the backend server accepts among the routers. */
    void updateLimits(Backend& backend, Instant now) const;
    /** @return Requests that the server can turn away in a second without crashing; nullopt: it is not known to be
     * brittle, and no server of its service is. */
    [[nodiscard]] std::optional<double> bearableOf(const Backend& backend, Instant now) const;
    /** @brief Divides the room of a server that is brittle, or may be. */
    void updateRoom(Backend& backend, Instant now) const;
    /** @brief Applies the server's brittleness, or its end, to the servers of its services that are not known. */
    void updateBrittleServices(const BackendId& server, Instant now);
    /** @brief Ends trials at all servers of the services of a brittle server that turned a request away at `at`. */
    void pauseService(const BackendId& server, Instant at) const;
    [[nodiscard]] FleetShare shareOf(const Backend& backend, const FleetRate& rate) const;
    [[nodiscard]] BackendView viewOf(const Backend& backend, const ViewRequest& request, Instant now) const;

    TableSettings settings_;
    std::unique_ptr<PrefillModel> prefill_;
    std::unique_ptr<PrefixLengths> lengths_;
    /** By the service that listed a server first. */
    std::map<ServiceName, std::unique_ptr<internal::RequestStatistics>> requests_;
    std::map<BackendId, std::unique_ptr<Backend>> backends_;
    std::map<ServiceName, std::set<BackendId>> services_;
    std::unique_ptr<internal::AnnouncementBook> announcements_;
    /** Servers of each service that state that they are brittle, with the number that they can turn away in a second.
     */
    std::map<ServiceName, std::map<BackendId, double>> brittleServers_;
    /** When the first backend servers were listed. */
    std::optional<Instant> startedAt_;
    std::vector<AnnouncementChange> announcementChanges_;
    std::vector<TurnedAway> turnedAway_;
    bool urgentNews_ = false;
    const FleetLoad* fleetLoad_ = nullptr;
    PeerAddress self_;
    std::vector<PeerAddress> routers_;
    std::unique_ptr<internal::RoomRouters> roomRouters_;
    /** The table holds backend servers that no service lists and that still run attempts of this router. */
    bool hasUnlistedBackends_ = false;
};

} // namespace swiftlift::routing
