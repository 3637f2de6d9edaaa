#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/ledger/Entry.h"
#include "swiftlift/ledger/Fold.h"

namespace swiftlift::node {

/**
 * @brief Copies of peers' ledger items that have not been read back yet.
 *
 * A router that answers a request and dies before its bill is in the log would leave the answer unbilled. So its
 * witness stores a copy and appends it in the dead router's name. A remote replica does the same, because router and
 * witness may be lost together with their failure domain. The fold applies each author's items once and in sequence, so
 * it does no harm if the author was only paused and appends them too.
 */
class ItemCopies {
public:
    /** Maximum number of items stored for one author. An author that can't reach the log for so long that it has more
     * gets no acknowledgement for the rest. */
    static constexpr std::size_t maxItems = 20'000;

    explicit ItemCopies(const ledger::Fold& fold)
        : fold_(&fold)
    {
    }

    /**
     * @brief Stores copies of items.
     * @param items Items of one author, in sequence.
     * @param now When the items arrived.
     * @return The last sequence up to which no item is missing both here and in the ledger; std::nullopt when `items`
     * is empty.
     */
    [[nodiscard]] std::optional<std::uint64_t> keep(const std::vector<ledger::Item>& items, Instant now);

    /** @return The author's items that have not landed and follow each other without a gap, ready to be appended; empty
     * when there are none. */
    [[nodiscard]] ledger::Batch batchOf(Incarnation author) const;

    /** @return When the author last sent items; std::nullopt when no items of the author are stored. */
    [[nodiscard]] std::optional<Instant> lastSent(Incarnation author) const;

    /** @return Authors whose items are stored. */
    [[nodiscard]] std::vector<Incarnation> authors() const;

    /** Removes the author's items up to and including the landed one. */
    void onLanded(const ledger::Landed& landed);

    /** @return Number of stored items of all authors. */
    [[nodiscard]] std::size_t size() const noexcept;

private:
    using Items = std::map<std::uint64_t, ledger::Item>;

    struct AuthorCopies {
        Items items;
        Instant lastSent {};
    };

    /** @return The last sequence up to which no item is missing both in `items` and in the ledger. */
    [[nodiscard]] std::uint64_t lastContiguous(Incarnation author, const Items& items) const;

    const ledger::Fold* fold_;
    std::map<Incarnation, AuthorCopies> copies_;
};

} // namespace swiftlift::node
