#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <ostream>
#include <set>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::ledger::internal {

/** @brief What is asked of one budget here: an exponentially decaying rate and the largest recent request. */
class HolderDemand {
public:
    void note(Tokens amount, Instant now);
    /** Takes back what was noted at `noted`: it was refused, and comes again as another request if it comes at all. */
    void withdraw(Tokens amount, Instant noted, Instant now);

    /** @return Tokens per second. */
    [[nodiscard]] double rate(Instant now) const;
    [[nodiscard]] Tokens largest(Instant now) const;

    void print(std::ostream& out) const;

private:
    double weight_ = 0;
    Instant weighedAt_ {};
    std::optional<Instant> firstNoted_;
    /** Largest of the present window and of the one before it. */
    Tokens largest_;
    Tokens formerLargest_;
    Instant windowStart_ {};
};

/** @brief A request that was told to wait. */
struct HolderWant {
    Tokens amount;
    /** When it was first short, and when it was last asked about. */
    Instant since {};
    Instant askedAt {};
};

/**
 * @brief Requests that were told to wait, until they are covered, withdrawn or forgotten.
 *
 * Sums are kept up with each change: an account's flood has a hundred requests waiting, and each of them, and each bill
 * that is read, asks for the sums again.
 */
class HolderWants {
public:
    /** @return Whether this key is new: its demand has not been counted yet. */
    bool add(RequestKey key, Tokens amount, Instant now);
    /** @return What was removed; nothing when the key does not wait. */
    std::optional<HolderWant> remove(RequestKey key);
    /** Forgets requests that nobody has asked about for long and nobody has withdrawn. */
    void expire(Instant now);

    [[nodiscard]] bool empty() const noexcept { return wants_.empty(); }
    [[nodiscard]] Tokens largest() const;
    [[nodiscard]] Tokens smallest() const;
    [[nodiscard]] Tokens sum() const noexcept { return sum_; }
    /** @return When this request was first short; `now` when it is not waiting. */
    [[nodiscard]] Instant since(RequestKey key, Instant now) const;

    void print(std::ostream& out) const;

private:
    void forget(Tokens amount);

    std::map<RequestKey, HolderWant> wants_;
    std::multiset<Tokens> amounts_;
    Tokens sum_;
};

} // namespace swiftlift::ledger::internal
