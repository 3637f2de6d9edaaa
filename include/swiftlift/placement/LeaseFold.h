#pragma once

#include <cstdint>
#include <optional>

#include "swiftlift/base/Ids.h"
#include "swiftlift/placement/Record.h"

namespace swiftlift::placement {

/** Who has the lease by the log; whether it still holds is for clocks to say. */
struct LeaseTerm {
    Incarnation holder;
    /** Offset of the claim that began the tenure, plus one: grows from tenure to tenure. */
    std::uint64_t fencing = 0;
    /** The last claim or renewal that won. */
    Offset claim;
};

/**
 * @brief The order lease as the log tells it. Readers of the same records come to the same tenure.
 *
 * A claim wins if no claim has won since the one it names. A reader whose first records have expired can't judge claims
 * that name something before its start; it knows the tenure from the first claim that names something it has seen.
 */
class LeaseFold {
public:
    /** @return True when the claim has won. */
    bool apply(Offset offset, const Claim& claim);

    /** @brief A record that is no claim. */
    void skip(Offset offset) { next_ = Offset { offset.value() + 1 }; }

    /** @brief Records before `oldest` are gone unread: forgets the tenure. */
    void restart(Offset oldest);

    /** @return Nothing when nobody ever claimed, or when the tenure is not known. */
    [[nodiscard]] const std::optional<LeaseTerm>& leaseTerm() const noexcept { return leaseTerm_; }
    /** @return True when claims that this reader has not seen, or can't judge, may have won. */
    [[nodiscard]] bool unknown() const noexcept { return !leaseTerm_ && bound_ > 0; }
    /** @return What a claim has to name now. */
    [[nodiscard]] std::uint64_t replaces() const noexcept
    {
        return leaseTerm_ ? leaseTerm_->claim.value() + 1 : bound_;
    }
    [[nodiscard]] Offset nextOffset() const noexcept { return next_; }

private:
    [[nodiscard]] std::uint64_t fencingOf(Offset offset, const Claim& claim) const;

    Offset next_;
    std::optional<LeaseTerm> leaseTerm_;
    /** While the tenure is unknown: any claim that may have won lies before this offset. */
    std::uint64_t bound_ = 0;
};

} // namespace swiftlift::placement
