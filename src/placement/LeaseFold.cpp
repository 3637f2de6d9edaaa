#include "swiftlift/placement/LeaseFold.h"

namespace swiftlift::placement {

bool LeaseFold::apply(Offset offset, const Claim& claim)
{
    skip(offset);
    const bool namesNoEarlierRecord = claim.replaces > offset.value();
    if (namesNoEarlierRecord) {
        return false;
    }
    if (claim.replaces < replaces()) {
        if (!leaseTerm_) {
            // A reader without the first records can't tell whether this claim won. If it did, later claims that don't
            // name it lose; taking one of them for the winner would let two routers issue orders. So from now on only a
            // claim that names this record or a later one is known to win.
            claimBound_ = offset.value() + 1;
        }
        return false;
    }
    leaseTerm_ = LeaseTerm { claim.holder, fencingOf(offset, claim), offset };
    return true;
}

std::uint64_t LeaseFold::fencingOf(Offset offset, const Claim& claim) const
{
    const bool renews = claim.fencing != 0 && claim.fencing <= offset.value();
    const bool ofThisLeaseTerm
        = !leaseTerm_ || (leaseTerm_->holder == claim.holder && leaseTerm_->fencing == claim.fencing);
    return renews && ofThisLeaseTerm ? claim.fencing : offset.value() + 1;
}

void LeaseFold::restart(Offset oldest)
{
    next_ = oldest;
    leaseTerm_.reset();
    claimBound_ = oldest.value();
}

} // namespace swiftlift::placement
