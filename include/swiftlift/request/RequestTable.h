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

/** @brief State of the ledger claim by which exactly one router may run a non-idempotent request. */
enum class ClaimState : std::uint8_t {
    /** The request is idempotent, or this router has not sent a claim yet. */
    None,
    /** The claim was appended and not read back: it may reach the log at any later time, or never. */
    Pending,
    /** The log gave the claim to this router. */
    Ours,
    /** The log gave the claim to another incarnation, or to an earlier request with this key; this is final. */
    Theirs,
    /** The claim is void; this is final, and no router will ever run the request. */
    Void,
};

/** @brief What one router has recorded about one request. */
struct Record {
    /** The caller's connection that brought the latest attempt. */
    CallId call;
    bool idempotent = true;
    /** Highest number among the caller's attempts that reached this router, from 1. */
    std::uint32_t attempt = 1;
    /** True as long as every attempt that the caller has made so far reached this incarnation. */
    bool wholeHistoryKnown = true;
    ClaimState claim = ClaimState::None;
    /** An attempt at a backend server is in progress. */
    bool attemptRunning = false;
    /** An ended attempt at a backend server may have started the request. */
    bool maybeStarted = false;
    /** The outcome that was reported to the caller; nothing while the request is in progress. */
    std::optional<Outcome> ended;
    /** Reason code of the outcome. */
    std::string reason;
    /** Tokens billed to the client account. */
    Tokens billed;
};

/** @brief What to do with a request that has just arrived. */
enum class Arrival : std::uint8_t {
    /** Process the request. */
    Proceed,
    /** An earlier attempt of the same request is in progress at this router. */
    InProgress,
    /** The outcome of this request was reported to the caller already, and the request must not run again. */
    AlreadyEnded,
};

/**
 * @brief Decides whether this router may dispatch a request, and which outcome it may report to the caller.
 *
 * The rules hold for one router. Between routers, the order of claims in the ledger's log decides which of them may run
 * a non-idempotent request.
 */
class RequestTable {
public:
    /** Number of ended requests that are remembered; beyond it, the oldest are evicted. */
    static constexpr std::size_t defaultRemembered = 20'000;

    /** @param maxRemembered Number of ended requests to remember. */
    explicit RequestTable(std::size_t maxRemembered = defaultRemembered);

    /**
     * @brief Records an attempt of the caller that has just arrived.
     * @param key The request.
     * @param call The caller's connection that brought the attempt.
     * @param attempt The caller's number of the attempt, from 1.
     * @param idempotent Whether the request may run more than once.
     * @return What to do; after Proceed the record belongs to `call`.
     */
    [[nodiscard]] Arrival arrive(const RequestKey& key, CallId call, std::uint32_t attempt, bool idempotent);

    /** @brief Call after the process was suspended: callers of requests in progress may have retried at other routers.
     */
    void markInProgressHistoryUnknown();
    /** @brief Records that the caller may have sent an attempt of the request to another router. */
    void markHistoryUnknown(const RequestKey& key);

    /** @brief Records that the claim of a non-idempotent request was sent to the log. */
    void claimSent(const RequestKey& key);

    /**
     * @brief Records the owner that the log gave to the claim.
     * @param key The request.
     * @param owner Incarnation that may run the request; the null incarnation if the claim is void.
     * @param self This incarnation.
     */
    void claimDecided(const RequestKey& key, Incarnation owner, Incarnation self);

    /**
     * @brief Records that the log held a claim for this key before this router sent one for the present request. Even a
     * claim that this incarnation owns gives no leave to run the present request.
     * @param key The request.
     * @param owner Incarnation that owns the claim; the null incarnation if the claim is void.
     */
    void claimFound(const RequestKey& key, Incarnation owner);

    /** @return True if the request may be sent to a backend server now. */
    [[nodiscard]] bool mayDispatch(const RequestKey& key) const;

    /** @brief Records that the request was sent to a backend server. */
    void dispatched(const RequestKey& key);

    /** @brief Records how the attempt in progress at a backend server ended. */
    void attemptEnded(const RequestKey& key, AttemptEnd end);

    /** @return The outcome that may be reported to the caller if this router gives the request up now. */
    [[nodiscard]] Outcome outcomeIfGivenUp(const RequestKey& key) const;

    /**
     * @brief Records the outcome that is reported to the caller; the request is dispatched again only if it is retried.
     * @param key The request, which must be in progress.
     * @param outcome The outcome.
     * @param reason Reason code of the outcome.
     * @param billed Tokens billed to the client account.
     * @return True if the claim has to be voided in the log: this router owns it or may come to own it, and will not
     * use it.
     */
    bool end(const RequestKey& key, Outcome outcome, std::string reason, Tokens billed);

    /** @return The record of the request, or null if there is none. */
    [[nodiscard]] const Record* find(const RequestKey& key) const;
    /** @return Number of requests in progress. */
    [[nodiscard]] std::size_t inProgress() const noexcept { return inProgress_; }
    /** @return Number of records, of ended requests and requests in progress. */
    [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }

private:
    [[nodiscard]] Arrival arriveRepeated(Record& record, CallId call, std::uint32_t attempt, bool idempotent);
    void evictOldestEnded();

    std::unordered_map<RequestKey, Record> records_;
    /** Keys in the order in which their requests ended; a key is repeated if its request ended several times. */
    std::deque<RequestKey> endedKeys_;
    std::size_t maxRemembered_;
    std::size_t inProgress_ = 0;
};

} // namespace swiftlift::request
