#pragma once

#include <optional>
#include <ostream>

#include "swiftlift/base/Units.h"

namespace swiftlift::ledger::internal {

/** @brief Draws that can't be covered and only tell the other holders that money is short here: when, and to what end.
 */
class ShortageSignals {
public:
    /** @return Whether another one may be made. */
    [[nodiscard]] bool due(Instant now) const noexcept { return now >= next_; }

    void sent(Instant now);

    /** Money came, be it by a draw or a loan. */
    void relieved() noexcept;

    /**
     * @param patience How long the others take to answer.
     * @return Whether an answer to the last one may still come, and the one before it was not in vain.
     */
    [[nodiscard]] bool awaited(Instant now, Duration patience) const noexcept;

    void print(std::ostream& out) const;

private:
    Instant next_ {};
    std::optional<Instant> sentAt_;
    /** Money came since the last one. */
    bool answered_ = false;
    /** No money came between the last one and the one before it. */
    bool formerInVain_ = false;
};

} // namespace swiftlift::ledger::internal
