#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/routing/FairQueue.h"

namespace swiftlift::routing {

enum class AdmissionVerdict : std::uint8_t {
    /** Send it to a backend server now. */
    Dispatch,
    /** It waits; pop() will give it. */
    Wait,
    Refuse,
};

/** Why a request is refused; the texts are those of the protocol towards callers. */
enum class AdmissionRefusal : std::uint8_t {
    None,
    /** Its first token can't be expected before its deadline. */
    DeadlineTooShort,
    /** Its account has its share of the queue waiting already. */
    AccountOverShare,
    /** The queue is full of other accounts' shares. */
    Overloaded,
};

struct AdmissionDecision {
    AdmissionVerdict verdict = AdmissionVerdict::Refuse;
    AdmissionRefusal refusal = AdmissionRefusal::None;
    /** Of a refusal. */
    Duration retryAfter {};
    /** Wait here plus first token there. */
    Duration predictedFirstToken {};
    /** Calls that gave way, to be refused `account_over_share` at once. */
    std::vector<CallId> displaced;
    std::string detail;
};

/** @brief Decides whether a request of one service goes on, waits or is refused, by deadline and fair share. */
class Admission {
public:
    explicit Admission(std::size_t maxWaiting);

    /**
     * @param call The request.
     * @param firstToken Predicted first token at the chosen backend server; nothing when all are full.
     */
    [[nodiscard]] AdmissionDecision admit(const WaitingCall& call, std::optional<Duration> firstToken, Instant now);

    /** @brief Tells what a first token took at a backend server, to know what a waiting call still needs. */
    void onFirstToken(Duration took);

    /** @return Calls that can't make their deadline any more, taken out: to be refused `deadline_too_short` at once. */
    [[nodiscard]] std::vector<CallId> expire(Instant now);

    /** @return When asking again is worth it for this account: when its own line has been served. */
    [[nodiscard]] Duration retryAfter(const AccountId& account, std::uint32_t weight, Instant now) const;

    [[nodiscard]] FairQueue& queue() noexcept { return queue_; }
    [[nodiscard]] const FairQueue& queue() const noexcept { return queue_; }

private:
    [[nodiscard]] Duration predictedWait(const WaitingCall& call, Instant now) const;
    [[nodiscard]] Duration leastFirstToken() const noexcept { return firstToken_ / 2; }

    FairQueue queue_;
    Duration firstToken_;
};

/** @return `deadline_too_short`, `account_over_share` or `overloaded`. */
[[nodiscard]] const char* toText(AdmissionRefusal refusal) noexcept;

} // namespace swiftlift::routing
