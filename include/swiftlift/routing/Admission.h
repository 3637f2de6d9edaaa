#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/routing/FairQueue.h"

namespace swiftlift::routing {

/** @brief What to do with a request on which Admission has decided. */
enum class AdmissionVerdict : std::uint8_t {
    /** Send the request to a backend server now. */
    Dispatch,
    /** The request was queued; FairQueue::pop() returns it when it may be sent. */
    Wait,
    /** Refuse the request; `AdmissionDecision::refusal` has the reason. */
    Refuse,
};

/** @brief Why a request is refused; toText() returns the reason code that callers get. */
enum class AdmissionRefusal : std::uint8_t {
    None,
    /** The predicted first token comes after the request's deadline. */
    DeadlineTooShort,
    /** The queue is full, and the client account has its share of it or more waiting. */
    AccountOverShare,
    /** The queue is full, although the client account has less than its share waiting. */
    Overloaded,
};

/** @brief The verdict on a request, with the figures behind it. */
struct AdmissionDecision {
    AdmissionVerdict verdict = AdmissionVerdict::Refuse;
    AdmissionRefusal refusal = AdmissionRefusal::None;
    /** After a refusal: when a retry is worthwhile. */
    Duration retryAfter {};
    /** Predicted time to first token: the wait in the queue plus the time at the backend server. */
    Duration predictedFirstToken {};
    /** Waiting calls that were removed from the full queue for this one, to be refused `account_over_share` at once. */
    std::vector<CallId> displaced;
    /** Explanation of a refusal for the caller and the log. */
    std::string detail;
};

/** @brief Decides by deadline and fair share whether a request of one service is dispatched, queued or refused. */
class Admission {
public:
    /** @param maxWaiting Maximum number of queued calls. */
    explicit Admission(std::size_t maxWaiting);

    /**
     * @brief Decides on a request, and queues it if it has to wait.
     * @param call The request.
     * @param firstToken Predicted time to first token at the chosen backend server; nothing if all of them are full.
     * @param now The current time.
     * @return The verdict.
     */
    [[nodiscard]] AdmissionDecision admit(const WaitingCall& call, std::optional<Duration> firstToken, Instant now);

    /**
     * @brief Records a measured time to first token, from which the time that a waiting call still needs is estimated.
     * @param took From dispatch to the first token.
     */
    void onFirstToken(Duration took);

    /**
     * @brief Removes the calls that can't meet their deadline any more.
     * @return The removed calls, to be refused `deadline_too_short` at once.
     */
    [[nodiscard]] std::vector<CallId> expire(Instant now);

    /** @return When a retry of this client account is worthwhile: once its own waiting calls have been served. */
    [[nodiscard]] Duration retryAfter(const AccountId& account, std::uint32_t weight, Instant now) const;

    [[nodiscard]] FairQueue& queue() noexcept { return queue_; }
    [[nodiscard]] const FairQueue& queue() const noexcept { return queue_; }

private:
    /** @return Predicted time in the queue; zero before a drain rate was measured. */
    [[nodiscard]] Duration predictedWait(const WaitingCall& call, Instant now) const;
    /** @return Assumed minimum time to first token: half of the average. */
    [[nodiscard]] Duration minFirstToken() const noexcept { return firstToken_ / 2; }

    FairQueue queue_;
    /** Moving average of the time to first token at backend servers. */
    Duration firstToken_;
};

/** @return `deadline_too_short`, `account_over_share` or `overloaded`; empty for `None`. */
[[nodiscard]] const char* toText(AdmissionRefusal refusal) noexcept;

} // namespace swiftlift::routing
