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

/** A request that waits for a backend server. */
struct WaitingCall {
    CallId call;
    AccountId account;
    /** The account's share relative to the others, from 1. */
    std::uint32_t weight = 1;
    /** Most tokens it can cost. */
    Tokens cost;
    Priority priority = Priority::Normal;
    Instant deadline {};
};

/** What became of a push. */
struct PushResult {
    bool accepted = false;
    /** Waiting calls pushed out in favour of this one: over their account's share, to be refused at once. */
    std::vector<CallId> displaced;
};

/**
 * @brief Requests waiting for a backend server, shared fairly between client accounts.
 *
 * Start-time fair queueing over tokens: each account gets its weight's share of what is served while it waits, and an
 * account that floods lengthens only its own line. Priorities order the calls of one account.
 */
class FairQueue {
public:
    explicit FairQueue(std::size_t maxWaiting);

    /**
     * @brief Adds a call. When the queue is full, the account most over its share gives way.
     * @return Not accepted when that is the call's own account.
     */
    [[nodiscard]] PushResult push(const WaitingCall& call, Instant now);

    /** @return The call to serve next, taken out. */
    [[nodiscard]] std::optional<WaitingCall> pop(Instant now);

    /** @return The call to serve next, left in. */
    [[nodiscard]] std::optional<WaitingCall> peek() const;

    /** @return False when the call does not wait here. */
    bool remove(CallId call);

    /**
     * @param least Time a call still needs after it leaves the queue.
     * @return Calls that can't make their deadline any more, taken out: to be refused at once.
     */
    [[nodiscard]] std::vector<CallId> expire(Instant now, Duration least);

    /** @return Tokens that would be served before a new call of this account, by the accounts' shares. */
    [[nodiscard]] Tokens aheadOf(const AccountId& account, std::uint32_t weight, Priority priority) const;

    /** @return True when one more call would take the account beyond its weight's share of a full queue. */
    [[nodiscard]] bool overShare(const AccountId& account, std::uint32_t weight) const;

    /** @return Tokens per second that left the queue while calls waited; nothing before any did. */
    [[nodiscard]] std::optional<double> drainRate(Instant now) const;

    [[nodiscard]] std::size_t size() const noexcept { return calls_.size(); }
    [[nodiscard]] std::size_t sizeOf(const AccountId& account) const;
    void setMaxWaiting(std::size_t maxWaiting) noexcept { maxWaiting_ = maxWaiting; }

private:
    /** Service received, in tokens per weight, scaled. */
    using VirtualTime = std::uint64_t;
    /** Order of an account's calls: priority, then arrival. */
    using LineKey = std::pair<Priority, std::uint64_t>;

    struct Line {
        std::map<LineKey, CallId> calls;
        std::uint32_t weight = 1;
        VirtualTime start = 0;
        Tokens waiting;
    };

    struct Entry {
        WaitingCall call;
        LineKey key;
    };

    void erase(CallId call);
    void serve(const WaitingCall& call, Instant now);
    void forgetIdle();
    [[nodiscard]] std::optional<AccountId> nextAccount() const;
    [[nodiscard]] AccountId mostOverShare(const AccountId& newcomer, std::uint32_t weight) const;

    std::size_t maxWaiting_;
    std::map<AccountId, Line> lines_;
    std::map<CallId, Entry> calls_;
    std::set<std::pair<Instant, CallId>> deadlines_;
    std::uint64_t arrivals_ = 0;
    VirtualTime virtualTime_ = 0;
    double drained_ = 0;
    Instant drainSince_ {};
    std::optional<double> drainRate_;
};

} // namespace swiftlift::routing
