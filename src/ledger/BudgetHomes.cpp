#include "swiftlift/ledger/BudgetHomes.h"

#include <algorithm>
#include <functional>

#include "swiftlift/base/RendezvousHash.h"

namespace swiftlift::ledger {

namespace {

    /** @return The domain's homes: all routers of a small one, those of the highest ranks in order of a large one. */
    std::vector<HomeCandidate> homesOf(std::uint64_t budget, std::vector<HomeCandidate> routers)
    {
        if (routers.size() <= BudgetHomes::maxRoutersAllHomes)
            return routers;
        const auto rank = [budget](const HomeCandidate& router) { return rendezvousRank(budget, router.address); };
        const auto end = routers.begin() + BudgetHomes::homesOfLargeDomain;
        std::ranges::partial_sort(routers, end, std::greater {}, rank);
        routers.erase(end, routers.end());
        return routers;
    }

} // namespace

BudgetHomes::BudgetHomes(const BudgetRef& budget, const RoutersByDomain& domains, Incarnation self)
    : shared_(!domains.empty() && domains.front().size() > maxRoutersAllHomes)
    , isHome_(!shared_)
{
    if (!shared_)
        return;
    const std::uint64_t key = stableHash(budget.account.value()) ^ stableHash(budget.budget.value());
    for (const std::vector<HomeCandidate>& routers : domains) {
        for (const HomeCandidate& home : homesOf(key, routers)) {
            ++count_;
            if (home.incarnation == self)
                isHome_ = true;
            else if (home.incarnation != Incarnation {})
                lenders_.push_back(home.incarnation);
        }
    }
}

} // namespace swiftlift::ledger
