#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Priority.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/routing/BackendTable.h"

namespace swiftlift::routing {

/** @brief A request for which a backend server is to be selected. */
struct SelectRequest {
    ServiceName service;
    /** Empty if any backend server of the service will do. */
    std::string model;
    /** Hash of the beginning of the prompt; 0 if the request has no prefix. */
    std::uint64_t prefixHash = 0;
    /** Tokens of the prompt that other requests may share. */
    Tokens sharedTokens;
    Tokens promptTokens;
    /** Maximum memory of the request: the whole prompt and the largest possible answer; 0: not known. */
    Tokens memory = {};
    Priority priority = Priority::Normal;
    /** Only idempotent requests may be a circuit breaker's probe. */
    bool idempotent = true;
    /** Only backend servers of this software version may get the request; nullopt: any. */
    std::optional<SoftwareVersion> version = std::nullopt;
    /** Backend servers that were tried already for this request. */
    std::set<BackendId> excluded;
    /** Failure domains that seem unreachable: their backend servers are used only if no other is left. */
    std::set<FailureDomain> unreachableDomains;
};

/** @brief A backend server that was considered and not selected, with the figures that were compared. */
struct Alternative {
    BackendId backend;
    Duration predictedFirstToken {};
    Tokens cachedTokens;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/** @brief What a request is expected to cost at a backend server, for itself and for others. */
struct ExpectedCost {
    /** Duration of an engine step. */
    Duration step {};
    /** Wait for a slot. */
    Duration queue {};
    /** Prefill of the prompts that have been sent there and have no first event yet. */
    Duration unread {};
    /** Prefill of the part of the request's prompt that is not cached. */
    Duration prefill {};
    /** Added for a server in another failure domain. */
    Duration crossing {};
    /** Delay of the requests that run there, by the prefill of this one. */
    Duration toOthers {};
    /** Prompt tokens that are expected to be cached. */
    Tokens cached = {};
    /** Time since this router saw the prefix used there; nullopt: not lately. */
    std::optional<Duration> cachedAge = std::nullopt;
    /** Prefill of the shared part of the prompt if it were not cached. */
    Duration sharedPrefill {};

    /** @return Expected time to the first event. */
    [[nodiscard]] Duration firstEvent() const noexcept { return step + queue + unread + prefill + crossing; }
    /** @return The figure by which servers are compared. */
    [[nodiscard]] Duration total() const noexcept { return firstEvent() + toOthers; }
};

/** @brief The selected backend server. */
struct Choice {
    BackendId backend;
    Duration predictedFirstToken {};
    /** Short text for the log line, for example `prefix cached, own domain`. */
    std::string reason;
    /** Other backend servers that were considered. */
    std::vector<Alternative> alternatives;
    /** The request is the only probe of the backend server's circuit breaker. */
    bool probe = false;
    /** The shared part of the prompt is expected not to be cached there and has to be prefilled as well. */
    bool prefillsSharedPart = false;
    /** By the load of the whole fleet; nullopt: chosen without it. `predictedFirstToken` is by this router's own
     * knowledge only, as requests are refused by it. */
    std::optional<ExpectedCost> expected = std::nullopt;

    /** @return The best estimate of the time to first token. */
    [[nodiscard]] Duration expectedFirstToken() const noexcept
    {
        return expected ? expected->firstEvent() : predictedFirstToken;
    }
};

/** @brief A backend server began or completed the answer to a request. */
struct PromptServed {
    ServerKey server;
    /** As in SelectRequest; 0: no prefix. */
    std::uint64_t prefixHash = 0;
    /** Tokens that the request takes in the server's memory. */
    Tokens tokens;
};

/** @brief Why no backend server was selected. */
enum class NoChoice : std::uint8_t {
    None,
    /** The service has no usable backend server: all are leaving, broken, paused, tried already or lack the model. */
    NoBackend,
    /** Every usable backend server has the maximum number of waiting requests: this one should wait in the router. */
    AllFull,
    /** As AllFull, but for lack of memory: a smaller request may go. */
    MemoryFull,
};

/** @brief Parameters of all selectors. */
struct SelectorSettings {
    /** The router's own failure domain. */
    FailureDomain domain;
    /** Seed of random decisions. */
    std::uint64_t seed = 1;
    /** Maximum number of requests that wait at a backend server. The backend server decides their order, so more of
     * them would defeat the fair queue of the router. */
    std::uint32_t waitingAtBackend = 2;
    /** Other failure domains are considered once the predicted time to first token in the own one exceeds this. */
    Duration domainOverload = std::chrono::milliseconds(150);
    /** Probability, in percent, that a request becomes a breaker's probe while other backend servers are usable. */
    std::uint32_t probePercent = 10;
    /** Added to the predicted time to first token of backend servers in other failure domains. */
    Duration crossDomain = std::chrono::milliseconds(4);
};

/** @brief Selects a backend server for a request. */
class Selector {
public:
    explicit Selector(SelectorSettings settings);
    virtual ~Selector() = default;

    /**
     * @brief Selects a backend server.
     * @param request The request.
     * @param table State of the backend servers. The caller calls BackendTable::onDispatched() when it dispatches.
     * @param now The current time.
     * @return The choice; if nothing, `lastReason()`, `noChoice()` and `retryAfter()` say why.
     */
    [[nodiscard]] std::optional<Choice> choose(const SelectRequest& request, const BackendTable& table, Instant now);

    /** @brief Records which server has a prompt in its cache now. */
    virtual void onPromptServed(const PromptServed& /*served*/, Instant /*now*/) { }

    /** @return Why the last choose() that selected nothing did so, as text for the caller and the log. */
    [[nodiscard]] const std::string& lastReason() const noexcept { return lastReason_; }
    /** @return Why the last choose() that selected nothing did so. */
    [[nodiscard]] NoChoice noChoice() const noexcept { return noChoice_; }
    /** @return Time after which a retry is worthwhile, for the last choose() that selected nothing. */
    [[nodiscard]] Duration retryAfter() const noexcept { return retryAfter_; }

    /** @return Name of the selector as in makeSelector(). */
    [[nodiscard]] virtual std::string_view name() const noexcept = 0;

protected:
    Selector(const Selector&) = default;
    Selector& operator=(const Selector&) = default;

    /**
     * @brief Selects one of several usable backend servers.
     * @param request The request.
     * @param candidates Usable backend servers, never empty.
     * @return The selected backend server with reason and alternatives.
     */
    [[nodiscard]] virtual Choice pick(const SelectRequest& request, const std::vector<BackendView>& candidates) = 0;

    /** @return True if backend servers of all failure domains are equally preferred for this request. */
    [[nodiscard]] virtual bool spansDomains(const SelectRequest& /*request*/) const { return false; }

    [[nodiscard]] std::mt19937_64& random() noexcept { return random_; }
    [[nodiscard]] const SelectorSettings& settings() const noexcept { return settings_; }
    /** @return Time of the choice that is being made. */
    [[nodiscard]] Instant now() const noexcept { return now_; }

private:
    /** @brief Backend servers of a service, grouped by whether and how they may be used for a request. */
    struct Classified {
        /** Usable, in the router's own failure domain. */
        std::vector<BackendView> ownDomain;
        /** Usable, in other failure domains. */
        std::vector<BackendView> otherDomains;
        /** Usable for the probe of their circuit breaker only. */
        std::vector<BackendView> probes;
        /** Usable, but it is not known whether the limit that they named still holds. */
        std::vector<BackendView> unconfirmedLimits;
        /** Usable, but brittle, and perhaps full. */
        std::vector<BackendView> uncertain;
        /** Usable, but with the maximum number of waiting requests, or brittle and full. */
        std::vector<BackendView> full;
        /** Usable, but without the memory that the request may take. */
        std::vector<BackendView> outOfMemory;
        /** Not usable because of their breaker or slow start, though they answer and have a free slot. */
        std::vector<BackendView> lastResorts;
        /** Usable, but in a failure domain that seems unreachable. */
        std::vector<BackendView> inUnreachableDomains;
        /** Number of backend servers that can't be used, by reason. */
        std::map<std::string, int> unusable;
        /** Earliest time at which an unusable backend server may become usable. */
        std::optional<Instant> usableAt;
    };

    [[nodiscard]] static Choice pickLastResort(const std::vector<BackendView>& lastResorts);
    [[nodiscard]] Classified classify(const SelectRequest& request, std::vector<BackendView> views) const;
    /** @return Why the backend server can't be used for the request; empty if it can. */
    [[nodiscard]] std::string unusableReason(const SelectRequest& request, const BackendView& view) const;
    /** @brief Adds a usable backend server to the group of its failure domain. */
    void addUsable(const SelectRequest& request, BackendView view, Classified& classified) const;
    [[nodiscard]] bool isFull(const SelectRequest& request, const BackendView& view) const;
    [[nodiscard]] std::optional<Choice> pickProbe(const SelectRequest& request, const Classified& classified);
    /** @return A request in some that shows whether a server still names its limit; nullopt: another choice is better.
     */
    [[nodiscard]] std::optional<Choice> pickUnconfirmedLimit(const Classified& classified);
    [[nodiscard]] Choice pickByDomain(const SelectRequest& request, const Classified& classified);
    /** @brief Sets the reason and the retry time for a request without a choice. */
    void explainNoChoice(const Classified& classified, Instant now);

    SelectorSettings settings_;
    Instant now_ {};
    std::mt19937_64 random_;
    std::string lastReason_;
    NoChoice noChoice_ = NoChoice::None;
    Duration retryAfter_ {};
};

/**
 * @brief Makes a selector by its name.
 * @param name `affinity`, `rendezvous`, `predicted`, `random`, `round_robin` or `least_load`.
 * @param settings Parameters of the selector.
 * @return The selector; nullptr for any other name.
 */
[[nodiscard]] std::unique_ptr<Selector> makeSelector(std::string_view name, SelectorSettings settings);

} // namespace swiftlift::routing
