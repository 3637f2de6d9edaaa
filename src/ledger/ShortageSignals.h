#pragma once

#include <optional>
#include <ostream>

#include "swiftlift/base/Units.h"

namespace swiftlift::ledger::internal {

/**
 * @brief Schedule and outcome of shortage signals: draws that the ledger can't cover, made so that the other holders
 * read them and return tokens.
 */
class ShortageSignals {
public:
    /** @return Whether another signal may be sent. */
    [[nodiscard]] bool isDue(Instant now) const noexcept { return now >= notBefore_; }

    void onSent(Instant now);

    /** @brief A draw or a loan has brought tokens. */
    void onTokensReceived() noexcept;

    /**
     * @param maxWait How long after a signal its answer is waited for.
     * @return Whether the last signal may still be answered, and the signal before it was not left unanswered.
     */
    [[nodiscard]] bool isAnswerPending(Instant now, Duration maxWait) const noexcept;

    void print(std::ostream& out) const;

private:
    Instant notBefore_ {};
    std::optional<Instant> sentAt_;
    /** Tokens have arrived since the last signal. */
    bool answered_ = false;
    /** No tokens arrived between the last signal and the one before it. */
    bool previousUnanswered_ = false;
};

} // namespace swiftlift::ledger::internal
