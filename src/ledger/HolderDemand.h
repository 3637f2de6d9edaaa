#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <ostream>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::ledger::internal {

/** @brief What is asked of one budget here: an exponentially decaying rate and the largest recent request. */
class HolderDemand {
public:
    void note(Tokens amount, Instant now);

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

/** @brief Requests that were told to wait, until they are covered or forgotten. */
class HolderWants {
public:
    /** @return Whether this key is new: its demand has not been counted yet. */
    bool add(RequestKey key, Tokens amount, Instant now);
    void remove(RequestKey key) { wants_.erase(key); }
    /** Forgets requests that nobody has asked about for long: nobody says when a request is given up. */
    void expire(Instant now);

    [[nodiscard]] bool empty() const noexcept { return wants_.empty(); }
    [[nodiscard]] Tokens largest() const;
    [[nodiscard]] Tokens smallest() const;
    [[nodiscard]] Tokens sum() const;
    /** @return When this request was first short; `now` when it is not waiting. */
    [[nodiscard]] Instant since(RequestKey key, Instant now) const;

    void print(std::ostream& out) const;

private:
    struct Want {
        Tokens amount;
        Instant since;
        Instant askedAt;
    };

    std::map<RequestKey, Want> wants_;
};

} // namespace swiftlift::ledger::internal
