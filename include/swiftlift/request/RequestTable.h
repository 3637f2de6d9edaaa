#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/request/Outcome.h"

namespace swiftlift::request {

enum class ClaimState : std::uint8_t {
    /** Idempotent, or not claimed yet. */
    None,
    /** Appended and not read back: it may land at any later time, or never. */
    Pending,
    Ours,
    /** Somebody else's for good. */
    Theirs,
    /** Void for good: nobody ever runs it. */
    Void,
};

/** What one router knows of one request. */
struct Record {
    CallId call;
    bool idempotent = true;
    /** The latest of the caller's attempts that came here. */
    std::uint32_t attempt = 1;
    /** True while every attempt that the caller has made so far came to this incarnation. */
    bool wholeHistoryKnown = true;
    ClaimState claim = ClaimState::None;
    bool attemptRunning = false;
    /** A backend server may have started it, now or earlier. */
    bool maybeStarted = false;
    /** Set once the caller has got its final word. */
    std::optional<Outcome> ended;
    std::string reason;
    Tokens billed;
};

/** What is to be done with a request that has just come in. */
enum class Arrival : std::uint8_t {
    /** Go on with it. */
    Proceed,
    /** The same request is in progress here. */
    InProgress,
    /** It had its final answer, and can't be run again. */
    AlreadyEnded,
};

/**
 * @brief Who may dispatch a request, and what may be said of it.
 *
 * Holds the rules for one router; two routers agree by the claims that the ledger's log orders.
 */
class RequestTable {
public:
    /** Ended requests that are remembered; past that the oldest are forgotten. */
    static constexpr std::size_t defaultRemembered = 20'000;

    explicit RequestTable(std::size_t remembered = defaultRemembered);

    /**
     * @param key The request.
     * @param call The caller's connection that brought it.
     * @param attempt The caller's count of its attempts, from 1.
     * @param idempotent Whether it may run more than once.
     * @return What to do; after Proceed the record belongs to `call`.
     */
    [[nodiscard]] Arrival arrive(const RequestKey& key, CallId call, std::uint32_t attempt, bool idempotent);

    /** This process has not run for a while: what callers of requests in progress did meanwhile is not known. */
    void markInProgressHistoryUnknown();
    /** The request may have been asked for elsewhere in between. */
    void markHistoryUnknown(const RequestKey& key);

    /** The claim of a non-idempotent request is on its way to the log. */
    void claimSent(const RequestKey& key);

    /**
     * @param key The request.
     * @param owner Who owns it from now on, by the log; nobody: it is void.
     * @param self This incarnation.
     */
    void claimDecided(const RequestKey& key, Incarnation owner, Incarnation self);

    /**
     * @brief The log had a claim of this key before this request sent one: it is not this request's.
     * @param owner Who owns it; nobody: it is void.
     */
    void claimFound(const RequestKey& key, Incarnation owner);

    /** @return True when a backend server may be sent the request now. */
    [[nodiscard]] bool mayDispatch(const RequestKey& key) const;

    void dispatched(const RequestKey& key);

    void attemptEnded(const RequestKey& key, AttemptEnd end);

    /** @return What may be said when the request is given up now. */
    [[nodiscard]] Outcome outcomeIfGivenUp(const RequestKey& key) const;

    /**
     * @brief The caller gets its final word; nothing is dispatched for this request from now on.
     * @return True when a claim has to be voided: it is, or may become, ours and will never be used.
     */
    bool end(const RequestKey& key, Outcome outcome, std::string reason, Tokens billed);

    /** @return The record, or null. */
    [[nodiscard]] const Record* find(const RequestKey& key) const;
    [[nodiscard]] std::size_t inProgress() const noexcept { return inProgress_; }
    [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }

private:
    [[nodiscard]] Arrival arriveAgain(Record& record, CallId call, std::uint32_t attempt, bool idempotent);
    void forgetOldest();

    std::unordered_map<RequestKey, Record> records_;
    std::deque<RequestKey> endedOrder_;
    std::size_t remembered_;
    std::size_t inProgress_ = 0;
};

} // namespace swiftlift::request
