#pragma once

#include <map>
#include <optional>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/routing/Selector.h"

namespace swiftlift::routing::internal {

/** @brief The terms that a cost has; replays leave out one at a time. */
struct CostTerms {
    bool queue = true;
    bool unread = true;
    bool prefill = true;
    bool speed = true;
    bool toOthers = true;
    bool margin = true;
};

/** @brief What is assumed of a prefix's cached part at a server. */
struct CachedPart {
    Tokens tokens;
    /** Time since this router saw the prefix used there; nullopt: not lately. */
    std::optional<Duration> age = std::nullopt;
};

/** @brief Computes expected costs from the load of the whole fleet. */
class CostModel {
public:
    /** @param crossDomain Cost of a server in another failure domain than `domain`. */
    CostModel(FailureDomain domain, Duration crossDomain, CostTerms terms);

    /** @brief Updates the median pace of the service's servers if it is out of date. */
    void observe(const ServiceName& service, const std::vector<BackendView>& servers, Instant now);

    /** @param view State of the server; `peers` must have a value. */
    [[nodiscard]] ExpectedCost costOf(
        const SelectRequest& request, const BackendView& view, const CachedPart& cached) const;

    /** @return The figure by which servers are compared, the lowest being the best: the total, and a margin where the
     * prefix would be prefilled again. */
    [[nodiscard]] Duration rank(const SelectRequest& request, const ExpectedCost& cost) const;

private:
    /** @brief Median pace of a service's servers. */
    struct MedianPace {
        std::optional<Duration> value;
        Instant at {};
    };

    /** @return Speed of the server relative to the median of its service. */
    [[nodiscard]] double speedOf(const ServiceName& service, const BackendView& view) const;

    FailureDomain domain_;
    Duration crossDomain_;
    CostTerms terms_;
    std::map<ServiceName, MedianPace> paces_;
};

} // namespace swiftlift::routing::internal
