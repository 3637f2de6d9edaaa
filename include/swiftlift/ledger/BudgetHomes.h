#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "swiftlift/base/Ids.h"

namespace swiftlift::ledger {

/** @brief A router that may hold tokens for others. */
struct HomeCandidate {
    /** Hash of its address: stays the same over restarts, and when this router has not heard of it yet. */
    std::uint64_t address = 0;
    /** Its incarnation; the null incarnation while it is not known. */
    Incarnation incarnation;

    [[nodiscard]] bool operator==(const HomeCandidate&) const = default;
};

/** @brief The routers of the fleet by failure domain, the own domain first, without those that are silent. */
using RoutersByDomain = std::vector<std::vector<HomeCandidate>>;

/**
 * @brief The routers that hold a budget's tokens and lend them to the others of the fleet.
 *
 * Load pattern: an account's requests come to each of hundreds of routers, a few a minute. If each router held room for
 * its largest request, the routers together would hold more than the budget, and the log would carry a draw for each
 * pair of router and account. In a failure domain of few routers all are homes of each budget; in a larger one a few
 * are, chosen by rendezvous hashing, and the others borrow what they need for each request.
 */
class BudgetHomes {
public:
    /** Most routers of a failure domain that all hold each budget themselves. */
    static constexpr std::size_t maxRoutersAllHomes = 24;
    /** Homes of each budget in a larger failure domain: after the loss of one, two still lend. */
    static constexpr std::size_t homesOfLargeDomain = 3;

    /** Not shared: each router holds the budget for itself. */
    BudgetHomes() = default;
    /**
     * @param budget The budget.
     * @param domains The fleet's routers, this one included.
     * @param self This router.
     */
    BudgetHomes(const BudgetRef& budget, const RoutersByDomain& domains, Incarnation self);

    /** @return True if a few routers of the own failure domain hold the budget for all of it. */
    [[nodiscard]] bool shared() const noexcept { return shared_; }
    /** @return True if this router holds tokens of the budget ahead of need. */
    [[nodiscard]] bool isHome() const noexcept { return isHome_; }
    /** @return The other homes whose incarnations are known, those of the own domain first. Only if shared(). */
    [[nodiscard]] const std::vector<Incarnation>& lenders() const noexcept { return lenders_; }
    /** @return Number of homes in the whole fleet, this router included if it is one. Only if shared(). */
    [[nodiscard]] std::uint32_t count() const noexcept { return count_; }

private:
    bool shared_ = false;
    bool isHome_ = true;
    std::vector<Incarnation> lenders_;
    std::uint32_t count_ = 0;
};

} // namespace swiftlift::ledger
