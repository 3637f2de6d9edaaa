#pragma once

#include <cstdint>
#include <optional>

#include "swiftlift/base/Ids.h"
#include "swiftlift/placement/Record.h"

namespace swiftlift::placement {

/** Holder of the order lease according to the log. The log alone doesn't tell whether the lease has run out. */
struct LeaseTerm {
    Incarnation holder;
    /** Offset of the claim that began the lease term, plus one; increases with each lease term. */
    std::uint64_t fencing = 0;
    /** Offset of the last claim or renewal that won. */
    Offset claim;
};

/**
 * @brief Computes the lease term from the records of the log. Readers of the same records compute the same lease term.
 *
 * A claim wins if no other claim has won since the claim that its `replaces` names. If the first records have expired,
 * a reader can't decide about claims that name a record before the first record read. Such a reader knows the lease
 * term from the first claim on that names a record it has read.
 */
class LeaseFold {
public:
    /**
     * @brief Applies the claim read at `offset`.
     * @return True when the claim has won.
     */
    bool apply(Offset offset, const Claim& claim);

    /** @brief Passes over the record at `offset`, which is not a claim. */
    void skip(Offset offset) { next_ = Offset { offset.value() + 1 }; }

    /** @brief Discards the lease term, as the records before `oldest` expired before they were read. */
    void restart(Offset oldest);

    /** @return The present lease term; nothing when no claim was ever made, or when the lease term is unknown. */
    [[nodiscard]] const std::optional<LeaseTerm>& leaseTerm() const noexcept { return leaseTerm_; }
    /** @return True when a claim may have won that this reader has not read or could not decide on. */
    [[nodiscard]] bool unknown() const noexcept { return !leaseTerm_ && claimBound_ > 0; }
    /** @return The value that the next claim needs in `Claim::replaces`. */
    [[nodiscard]] std::uint64_t replaces() const noexcept
    {
        return leaseTerm_ ? leaseTerm_->claim.value() + 1 : claimBound_;
    }
    [[nodiscard]] Offset nextOffset() const noexcept { return next_; }

private:
    [[nodiscard]] std::uint64_t fencingOf(Offset offset, const Claim& claim) const;

    Offset next_;
    std::optional<LeaseTerm> leaseTerm_;
    /** While the lease term is unknown: every claim that may have won has a lower offset. 0: no such claim. */
    std::uint64_t claimBound_ = 0;
};

} // namespace swiftlift::placement
