#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Priority.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::routing {

/** @brief A request that waits for a backend server. */
struct WaitingCall {
    CallId call;
    AccountId account;
    /** The client account's share relative to other accounts, at least 1. */
    std::uint32_t weight = 1;
    /** Maximum number of tokens that the request can cost. */
    Tokens cost;
    Priority priority = Priority::Normal;
    Instant deadline {};
};

/** @brief Result of adding a call to the queue. */
struct PushResult {
    /** True if the call was queued. */
    bool accepted = false;
    /** Waiting calls that were removed for this one because their account is over its share; to be refused at once. */
    std::vector<CallId> displaced;
};

/**
 * @brief Requests waiting for a backend server, shared fairly between client accounts.
 *
 * Start-time fair queueing over tokens: while an account has calls waiting, it gets the share of the served tokens that
 * its weight gives it, and an account that floods the queue delays only its own calls. Priorities order the calls of
 * one account.
 */
class FairQueue {
    /** Order of an account's calls: priority, then arrival number. */
    using LineKey = std::pair<Priority, std::uint64_t>;

public:
    /** The last call of each account that was passed over in one pass over the queue. */
    using PassedOver = std::map<AccountId, LineKey>;

    /** @param maxWaiting Maximum number of waiting calls. */
    explicit FairQueue(std::size_t maxWaiting);

    /**
     * @brief Adds a call. If the queue is full, the last call of the account most over its share is removed for it.
     * @return The result; the call is not accepted if its own account is the one most over its share.
     */
    [[nodiscard]] PushResult push(const WaitingCall& call, Instant now);

    /**
     * @brief Removes the call to serve next.
     * @return The removed call; nothing if the queue is empty.
     */
    [[nodiscard]] std::optional<WaitingCall> pop(Instant now);

    /** @return The call to serve next, which stays in the queue; nothing if the queue is empty. */
    [[nodiscard]] std::optional<WaitingCall> peek() const { return peek({}); }

    /**
     * @brief Returns the call to serve next when some calls can't be served now.
     * @param passedOver The last call of each account that was passed over, by passOver().
     * @return The next call behind those, in the accounts' fair order; nothing if there is none.
     */
    [[nodiscard]] std::optional<WaitingCall> peek(const PassedOver& passedOver) const;

    /** @brief Adds a call of the queue, which peek() has just returned, to the calls that are passed over. */
    void passOver(CallId call, PassedOver& passedOver) const;

    /**
     * @brief Removes a call to serve it, wherever it waits. Its account is charged as by pop().
     * @return False if the call is not in the queue.
     */
    bool take(CallId call, Instant now);

    /**
     * @brief Removes a call.
     * @return False if the call is not in the queue.
     */
    bool remove(CallId call);

    /**
     * @brief Removes the calls that can't meet their deadline any more.
     * @param now The current time.
     * @param minServiceTime Minimum time that a call still needs after it leaves the queue.
     * @return The removed calls, to be refused at once.
     */
    [[nodiscard]] std::vector<CallId> expire(Instant now, Duration minServiceTime);

    /** @return Tokens that would be served before a new call of this account, according to the accounts' shares. */
    [[nodiscard]] Tokens aheadOf(const AccountId& account, std::uint32_t weight, Priority priority) const;

    /** @return True if one more call would take the account beyond its share of a full queue and the account has calls
     * waiting. */
    [[nodiscard]] bool overShare(const AccountId& account, std::uint32_t weight) const;

    /** @return Tokens per second that were served while calls waited; nothing before the first measurement. */
    [[nodiscard]] std::optional<double> drainRate(Instant now) const;

    /** @return Number of waiting calls. */
    [[nodiscard]] std::size_t size() const noexcept { return calls_.size(); }
    /** @return Number of waiting calls of the account. */
    [[nodiscard]] std::size_t sizeOf(const AccountId& account) const;
    void setMaxWaiting(std::size_t maxWaiting) noexcept { maxWaiting_ = maxWaiting; }

private:
    /** Service that an account has received: tokens divided by weight, in 1/1024 of a token. */
    using VirtualTime = std::uint64_t;

    /** @brief The waiting calls of one account. */
    struct Line {
        std::map<LineKey, CallId> calls;
        std::uint32_t weight = 1;
        /** Start time of the account's next call; the account with the earliest one is served next. */
        VirtualTime start = 0;
        /** Sum of the costs of the waiting calls. */
        Tokens waiting;
    };

    struct Entry {
        WaitingCall call;
        LineKey key;
    };

    void erase(CallId call);
    void chargeService(const WaitingCall& call, Instant now);
    void eraseIdleLines();
    [[nodiscard]] AccountId accountMostOverShare(const AccountId& newcomer, std::uint32_t weight) const;

    std::size_t maxWaiting_;
    /** Accounts with waiting calls, and accounts that were served ahead of their share. */
    std::map<AccountId, Line> lines_;
    std::map<CallId, Entry> calls_;
    std::set<std::pair<Instant, CallId>> deadlines_;
    std::uint64_t arrivals_ = 0;
    VirtualTime virtualTime_ = 0;
    /** Tokens served since `drainSince_`. */
    double drained_ = 0;
    Instant drainSince_ {};
    /** Moving average, in tokens per second. */
    std::optional<double> drainRate_;
};

} // namespace swiftlift::routing
