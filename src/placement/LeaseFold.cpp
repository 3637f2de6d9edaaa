#include "swiftlift/placement/LeaseFold.h"

namespace swiftlift::placement {

bool LeaseFold::apply(Offset offset, const Claim& claim)
{
    skip(offset);
    const bool namesTheFuture = claim.replaces > offset.value();
    if (namesTheFuture) {
        return false;
    }
    if (claim.replaces < replaces()) {
        if (!leaseTerm_) {
            // What goes wrong: a reader without the first records takes a claim for the winner that has lost to one it
            // can't judge, and two routers give orders. This claim may have won, so only one that names it is sure to.
            bound_ = offset.value() + 1;
        }
        return false;
    }
    leaseTerm_ = LeaseTerm { claim.holder, fencingOf(offset, claim), offset };
    return true;
}

std::uint64_t LeaseFold::fencingOf(Offset offset, const Claim& claim) const
{
    const bool renews = claim.fencing != 0 && claim.fencing <= offset.value();
    const bool ofThisTenure
        = !leaseTerm_ || (leaseTerm_->holder == claim.holder && leaseTerm_->fencing == claim.fencing);
    return renews && ofThisTenure ? claim.fencing : offset.value() + 1;
}

void LeaseFold::restart(Offset oldest)
{
    next_ = oldest;
    leaseTerm_.reset();
    bound_ = oldest.value();
}

} // namespace swiftlift::placement
