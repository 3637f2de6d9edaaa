#include "ledger/FoldOrigins.h"

#include <utility>

namespace swiftlift::ledger::internal {

Origins::Origins(std::size_t limit)
    : limit_(limit)
{
}

const Origin* Origins::find(Incarnation id) const
{
    const auto found = origins_.find(id);
    return found == origins_.end() ? nullptr : &found->second;
}

Origin& Origins::at(Incarnation id) { return origins_.at(id); }

void Origins::recordItem(Incarnation id, std::uint64_t sequence)
{
    Origin& origin = origins_[id];
    origin.lastSequence = sequence;
    markMostRecent(id, origin);
    evictLeastRecent();
}

bool Origins::add(Incarnation id, Origin origin)
{
    origin.lastActivity = 0;
    const auto [place, isNew] = origins_.emplace(id, origin);
    if (isNew)
        markMostRecent(id, place->second);
    return isNew;
}

const std::map<std::uint64_t, Incarnation>& Origins::byLastActivity() const noexcept { return byLastActivity_; }

std::size_t Origins::limit() const noexcept { return limit_; }

void Origins::markMostRecent(Incarnation id, Origin& origin)
{
    byLastActivity_.erase(origin.lastActivity);
    origin.lastActivity = nextActivity_++;
    byLastActivity_.emplace_hint(byLastActivity_.end(), origin.lastActivity, id);
}

void Origins::evictLeastRecent()
{
    // A holder with a grant that is not closed has to stay, because a bill on one of its closed grants could otherwise
    // not be distinguished from a bill on a grant that never existed. Such a holder moves to the end of the order. One
    // pass is enough: all authors that remain after it have a grant that is not closed.
    for (std::size_t passes = byLastActivity_.size(); origins_.size() > limit_ && passes > 1; --passes) {
        const Incarnation leastRecent = byLastActivity_.begin()->second;
        Origin& origin = origins_.at(leastRecent);
        if (origin.openGrants > 0) {
            markMostRecent(leastRecent, origin);
            continue;
        }
        byLastActivity_.erase(origin.lastActivity);
        origins_.erase(leastRecent);
    }
}

} // namespace swiftlift::ledger::internal
