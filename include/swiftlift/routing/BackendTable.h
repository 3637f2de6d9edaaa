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
#include "swiftlift/routing/BackendFacts.h"

namespace swiftlift::routing {

class Backend;
class PrefillModel;
class PrefixLengths;

/** How the table judges backend servers. */
struct TableSettings {
    std::uint64_t seed = 1;
    /** What a report shows is taken to be this old when it arrives. */
    Duration reportLag = std::chrono::milliseconds(300);
    /** Older reports are no longer trusted. */
    Duration reportLifetime = std::chrono::seconds(5);
    /** Failures in a row that open the breaker. */
    std::uint32_t breakerFailures = 3;
    Duration breakerFirstOpen = std::chrono::seconds(1);
    Duration breakerLongestOpen = std::chrono::seconds(30);
    /** From one request at a time to all, after a breaker closes or a backend server starts anew. */
    Duration slowStart = std::chrono::seconds(10);
    /** After "full": how long nothing is sent. */
    Duration fullPause = std::chrono::milliseconds(100);
    /** How long a sign of leaving holds against reports that don't confirm it. */
    Duration leavingHold = std::chrono::seconds(30);
    /** Prefixes remembered of each backend server, at most. */
    std::size_t prefixesKept = 2048;
    /** Prefixes remembered of all backend servers together: the bound of the table's memory. */
    std::size_t prefixesInAll = 65'536;
    /** Requests an engine is taken to run at once before it has been seen to let any wait. */
    std::uint32_t assumedSlots = 8;
    /** What an engine is taken to need for a prompt token that is not cached, before it has been measured. */
    Duration assumedPrefillPerToken = std::chrono::microseconds(20);
    /** Backend servers are asked for their load; one that never reported then counts as failing when it refuses. */
    bool polled = true;
    Duration assumedStep = std::chrono::milliseconds(3);
    Duration assumedHold = std::chrono::milliseconds(500);
};

enum class BackendState : std::uint8_t { Up, SlowStart, Probing, Broken, Leaving };

/** A backend server as it looks now, for selectors and operators. */
struct BackendView {
    BackendId backend;
    FailureDomain domain;
    BackendState state = BackendState::Up;
    /** Reported and corrected by what this router sent and saw end since. */
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /** This router's own. */
    std::uint32_t inFlight = 0;
    /** Requests it can run at once, as far as is known. */
    std::uint32_t slots = 0;
    /** Prompt tokens expected in its cache, for the request asked about. */
    Tokens cachedTokens;
    Duration predictedFirstToken {};
    /** What it still has to read of the prompts that this router has sent it and that have no answer yet. */
    Duration unread {};
    /** What it takes to read the shared part of the request asked about, where it is not cached. */
    Duration sharedPart {};
    /** Mean of how far first tokens were from what their choice predicted. */
    Duration predictionError {};
    /** False when nothing may be sent to it now. */
    bool usable = false;
    /** It answers and has room: to be used though its breaker holds it back, where nothing else is left. */
    bool lastResort = false;
    /** A request sent now is the breaker's one probe. */
    bool probe = false;
    /** When it may become usable again, as far as is known. */
    std::optional<Instant> usableAt;
    /** Nothing: never reported. */
    std::optional<Duration> reportAge;
    /** False when it reported its models and the one asked for is not among them. */
    bool servesModel = true;
};

/** What a view is asked for. */
struct ViewRequest {
    std::string model;
    std::uint64_t prefixHash = 0;
    Tokens promptTokens;
    /** Of the prompt, what other requests share and a home of the prefix has cached. */
    Tokens sharedTokens = {};
};

/**
 * @brief What this router knows of each backend server: lagged reports corrected by its own traffic, breaker, cached
 * prefixes.
 */
class BackendTable {
public:
    explicit BackendTable(TableSettings settings = {});
    ~BackendTable();
    BackendTable(BackendTable&&) noexcept;
    BackendTable& operator=(BackendTable&&) noexcept;

    /** @brief Sets the backend servers of a service; an empty list removes it. One server may serve several. */
    void setBackends(const ServiceName& service, const std::vector<BackendEntry>& backends, Instant now);

    void onLoad(const BackendId& backend, const LoadReport& report, Instant now);
    /** @brief A load report could not be had. */
    void onLoadMissed(const BackendId& backend, Instant now);
    void onCacheEvents(const BackendId& backend, const std::vector<CacheNotice>& events, Instant now);
    void onDispatched(const BackendId& backend, AttemptId attempt, const DispatchFacts& facts, Instant now);
    void onFirstToken(const BackendId& backend, AttemptId attempt, Instant now);
    void onFinished(const BackendId& backend, AttemptId attempt, const FinishFacts& facts, Instant now);
    /** @brief Any sign that the backend server is leaving: nothing is sent to it from now on. */
    void onLeaving(const BackendId& backend, Instant now);
    /** @brief Drops the records of backend servers that no service names any more and that run nothing of ours. */
    void tick(Instant now);
    /** @return All backend servers of a service, in order of their addresses. */
    [[nodiscard]] std::vector<BackendView> views(
        const ServiceName& service, const ViewRequest& request, Instant now) const;
    /** @return One of them, whatever the service. */
    [[nodiscard]] std::optional<BackendView> view(
        const BackendId& backend, const ViewRequest& request, Instant now) const;
    /** @return All backend servers known, in order of their addresses. */
    [[nodiscard]] std::vector<BackendId> backends() const;
    [[nodiscard]] std::vector<BackendId> backendsOf(const ServiceName& service) const;
    /** @return The models it reported last. */
    [[nodiscard]] std::vector<std::string> modelsOf(const BackendId& backend) const;

private:
    [[nodiscard]] Backend* find(const BackendId& backend) const;
    void removeUnused();
    void sharePrefixMemory();

    TableSettings settings_;
    std::unique_ptr<PrefillModel> prefill_;
    std::unique_ptr<PrefixLengths> lengths_;
    std::map<BackendId, std::unique_ptr<Backend>> backends_;
    std::map<ServiceName, std::set<BackendId>> services_;
    /** Some records wait for their last requests to end. */
    bool removed_ = false;
};

} // namespace swiftlift::routing
