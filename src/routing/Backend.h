#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "routing/Breaker.h"
#include "routing/LoadEstimate.h"
#include "routing/PrefillModel.h"
#include "routing/PrefixCache.h"
#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/routing/BackendTable.h"

namespace swiftlift::routing {

/** @brief One backend server as this router knows it. */
class Backend {
public:
    Backend(BackendEntry entry, const TableSettings& settings, PrefillModel& prefill, PrefixLengths& lengths,
        std::uint64_t seed);

    void onLoad(const LoadReport& report, Instant now);
    void onLoadMissed(Instant now);
    void onCacheEvents(const std::vector<CacheNotice>& events) { cache_.onEvents(events); }
    void onDispatched(AttemptId attempt, const DispatchFacts& facts, Instant now);
    void onFirstToken(AttemptId attempt, Instant now);
    void onFinished(AttemptId attempt, const FinishFacts& facts, Instant now);
    void onLeaving(Instant now);

    [[nodiscard]] BackendView view(const ViewRequest& request, Instant now) const;
    [[nodiscard]] const std::set<std::string>& models() const noexcept { return models_; }
    [[nodiscard]] bool idle() const noexcept { return load_.inFlight() == 0; }
    void setPrefixesKept(std::size_t count) { cache_.setCapacity(count); }
    /** @param entry What is told of it now; another life makes all that was learnt of the one before void. */
    void setEntry(const BackendEntry& entry, Instant now);

private:
    struct Sent {
        DispatchFacts facts;
        Instant at;
        Tokens uncached;
        /** Without the measured offset. */
        Duration predicted {};
        bool waited = false;
        bool answered = false;
    };

    struct Leaving {
        Instant lastSign;
        std::optional<std::uint64_t> generation;
    };

    void startAnew(Instant now);
    /** Its prompt is read, or never will be. */
    void noteRead(const Sent& sent);
    void noteLeaving(const LoadReport& report, Instant now);
    void noteEnd(AttemptId attempt, const FinishFacts& facts, Instant now);
    [[nodiscard]] BackendState state(Instant now) const;
    [[nodiscard]] bool paused(Instant now) const;
    [[nodiscard]] bool usable(Instant now) const;
    [[nodiscard]] bool lastResort(Instant now) const;
    [[nodiscard]] std::optional<Instant> usableAt(Instant now) const;
    [[nodiscard]] Duration predict(Tokens uncached, Instant now) const;
    [[nodiscard]] Duration offset(Instant now) const;

    BackendEntry entry_;
    TableSettings settings_;
    PrefillModel* prefill_;
    LoadEstimate load_;
    PrefixCache cache_;
    Breaker breaker_;
    std::map<AttemptId, Sent> sent_;
    /** Sum over `sent_` of what has no answer yet. */
    Tokens unread_;
    std::set<std::string> models_;
    bool reported_ = false;
    std::optional<std::uint64_t> generation_;
    std::optional<Leaving> leaving_;
    bool missed_ = false;
    /** The last attempt that told anything was answered, be it with a failure. */
    bool answers_ = true;
    std::optional<Instant> pausedUntil_;
    /** Mean of how much later first tokens come than predicted. */
    Duration offset_ {};
    Instant offsetAt_ {};
    Duration predictionError_ {};
};

} // namespace swiftlift::routing
