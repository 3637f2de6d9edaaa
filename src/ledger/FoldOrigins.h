#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "swiftlift/base/Ids.h"

namespace swiftlift::ledger::internal {

/** State of one author of items. */
struct Origin {
    /** Sequence of the author's last item that was in sequence. */
    std::uint64_t lastSequence = 0;
    /** Highest number of the author's draws. A grant up to this number that is neither open nor sealed is closed or was
     * refused. */
    std::uint32_t highestGrant = 0;
    /** Number of the author's grants that are not closed. */
    std::uint32_t openGrants = 0;
    /** Whether draws are refused because a grant of the author was sealed or written off. */
    bool retired = false;
    /** Position of the author's last item in the order over all authors' items. */
    std::uint64_t lastActivity = 0;
};

/**
 * @brief Bounded set of the authors of items, with eviction of the least recently active author.
 *
 * An author with a grant that is not closed is never evicted, so the set may exceed its limit.
 */
class Origins {
public:
    /** @param limit Number of authors above which authors are evicted. */
    explicit Origins(std::size_t limit);

    /** @return The author, or null when it is not in the set. */
    [[nodiscard]] const Origin* find(Incarnation id) const;

    /** @return The author, which must be in the set. */
    [[nodiscard]] Origin& at(Incarnation id);

    /** @brief Records an item of the author, which becomes the most recently active one, and evicts authors above the
     * limit. */
    void recordItem(Incarnation id, std::uint64_t sequence);

    /**
     * @brief Adds an author from a checkpoint as the most recently active one.
     * @return `false` when the author is in the set already; the set is then unchanged.
     */
    [[nodiscard]] bool add(Incarnation id, Origin origin);

    /** @return The authors, ordered by their last activity, the least recent first. */
    [[nodiscard]] const std::map<std::uint64_t, Incarnation>& byLastActivity() const noexcept;

    [[nodiscard]] std::size_t limit() const noexcept;

private:
    void markMostRecent(Incarnation id, Origin& origin);
    /** Evicts the least recently active authors without grants until the set has no more than `limit()` authors. */
    void evictLeastRecent();

    std::size_t limit_;
    std::uint64_t nextActivity_ = 1;
    std::map<Incarnation, Origin> origins_;
    std::map<std::uint64_t, Incarnation> byLastActivity_;
};

} // namespace swiftlift::ledger::internal
