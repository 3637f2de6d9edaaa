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

/** A request that needs a backend server. */
struct SelectRequest {
    ServiceName service;
    /** Empty: any backend server of the service will do. */
    std::string model;
    std::uint64_t prefixHash = 0;
    /** Tokens of the prompt that other requests may share. */
    Tokens sharedTokens;
    Tokens promptTokens;
    Priority priority = Priority::Normal;
    /** Only these may be a breaker's probe. */
    bool idempotent = true;
    /** Tried already, for this request. */
    std::set<BackendId> excluded;
    /** Failure domains that seem out of reach: used when nothing else is left. */
    std::set<FailureDomain> unreachableDomains;
};

/** A backend server that was weighed, with its figures. */
struct Alternative {
    BackendId backend;
    Duration predictedFirstToken {};
    Tokens cachedTokens;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

struct Choice {
    BackendId backend;
    Duration predictedFirstToken {};
    /** Short text for the log line, for example `prefix cached, own domain`. */
    std::string reason;
    /** Others that were weighed. */
    std::vector<Alternative> alternatives;
    /** The breaker's one probe. */
    bool probe = false;
    /** The shared part of the prompt is taken not to be cached there: it has to be read as well. */
    bool prefillsSharedPart = false;
};

enum class NoChoice : std::uint8_t {
    None,
    /** The service has no backend server that may be used: leaving, broken, without the model, or tried already. */
    NoBackend,
    /** All that may be used have as much waiting as is sensible: the request should wait here. */
    AllFull,
};

/** How selectors weigh. */
struct SelectorSettings {
    FailureDomain domain;
    std::uint64_t seed = 1;
    /** Requests let wait at an engine beyond what it runs: more would take the order out of this router's hands. */
    std::uint32_t waitingAtBackend = 2;
    /** Beyond this predicted first token in the own failure domain, others are weighed too. */
    Duration domainOverload = std::chrono::milliseconds(150);
    /** Chance, in percent, that a request becomes the probe of a breaker while other backend servers are usable. */
    std::uint32_t probePercent = 10;
    /** Added to the predicted first token of another failure domain. */
    Duration crossDomain = std::chrono::milliseconds(4);
};

/** @brief Chooses a backend server for a request. */
class Selector {
public:
    explicit Selector(SelectorSettings settings);
    virtual ~Selector() = default;

    /**
     * @param table What is known; not changed. The caller tells the table when it dispatches.
     * @return The choice; nothing with `lastReason()`, `noChoice()` and `retryAfter()`.
     */
    [[nodiscard]] std::optional<Choice> choose(const SelectRequest& request, const BackendTable& table, Instant now);

    [[nodiscard]] const std::string& lastReason() const noexcept { return lastReason_; }
    [[nodiscard]] NoChoice noChoice() const noexcept { return noChoice_; }
    /** @return After a choose() without a choice: when asking again is worth it. */
    [[nodiscard]] Duration retryAfter() const noexcept { return retryAfter_; }

    [[nodiscard]] virtual std::string_view name() const noexcept = 0;

protected:
    Selector(const Selector&) = default;
    Selector& operator=(const Selector&) = default;

    /**
     * @param request What is to be placed.
     * @param candidates Usable ones of one preference, never empty.
     * @return The one to take, its reason and alternatives.
     */
    [[nodiscard]] virtual Choice pick(const SelectRequest& request, const std::vector<BackendView>& candidates) = 0;

    /** @return Whether all failure domains are weighed alike for this request. */
    [[nodiscard]] virtual bool spansDomains(const SelectRequest& /*request*/) const { return false; }

    [[nodiscard]] std::mt19937_64& random() noexcept { return random_; }

private:
    /** Backend servers of a service, sorted by what speaks against them. */
    struct Sorted {
        std::vector<BackendView> own;
        std::vector<BackendView> others;
        std::vector<BackendView> probes;
        std::vector<BackendView> full;
        /** Kept back by their breakers, though they answer. */
        std::vector<BackendView> heldBack;
        /** Usable, but in a domain that seems out of reach. */
        std::vector<BackendView> unreachableDomains;
        /** How many can't be used, by reason. */
        std::map<std::string, int> unusable;
        std::optional<Instant> usableAt;
    };

    [[nodiscard]] static Choice lastResort(const std::vector<BackendView>& heldBack);
    [[nodiscard]] Sorted sort(const SelectRequest& request, std::vector<BackendView> views) const;
    [[nodiscard]] std::string objection(const SelectRequest& request, const BackendView& view) const;
    [[nodiscard]] bool full(const SelectRequest& request, const BackendView& view) const;
    [[nodiscard]] std::optional<Choice> probe(const SelectRequest& request, const Sorted& sorted);
    [[nodiscard]] Choice pickByDomain(const SelectRequest& request, const Sorted& sorted);
    void explain(const Sorted& sorted, Instant now);

    SelectorSettings settings_;
    std::mt19937_64 random_;
    std::string lastReason_;
    NoChoice noChoice_ = NoChoice::None;
    Duration retryAfter_ {};
};

/**
 * @param name `affinity`, `rendezvous`, `random`, `round_robin` or `least_load`.
 * @return nullptr for any other name.
 */
[[nodiscard]] std::unique_ptr<Selector> makeSelector(std::string_view name, SelectorSettings settings);

} // namespace swiftlift::routing
