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

void Origins::advance(Incarnation id, std::uint64_t sequence)
{
    Origin& origin = origins_[id];
    origin.lastSequence = sequence;
    touch(id, origin);
    forgetSilent();
}

bool Origins::add(Incarnation id, Origin origin)
{
    origin.turn = 0;
    const auto [place, isNew] = origins_.emplace(id, origin);
    if (isNew)
        touch(id, place->second);
    return isNew;
}

const std::map<std::uint64_t, Incarnation>& Origins::bySilence() const noexcept { return bySilence_; }

std::size_t Origins::limit() const noexcept { return limit_; }

void Origins::touch(Incarnation id, Origin& origin)
{
    bySilence_.erase(origin.turn);
    origin.turn = nextTurn_++;
    bySilence_.emplace_hint(bySilence_.end(), origin.turn, id);
}

void Origins::forgetSilent()
{
    // A holder whose grant is not closed has to stay known, or a bill on a closed grant of it could not be told from
    // a bill on one that never was. It goes to the end of the queue instead; one pass is enough, since whoever is left
    // after it has a grant too.
    for (std::size_t passes = bySilence_.size(); origins_.size() > limit_ && passes > 1; --passes) {
        const Incarnation oldest = bySilence_.begin()->second;
        Origin& origin = origins_.at(oldest);
        if (origin.openGrants > 0) {
            touch(oldest, origin);
            continue;
        }
        bySilence_.erase(origin.turn);
        origins_.erase(oldest);
    }
}

} // namespace swiftlift::ledger::internal
