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
 * What goes wrong without them: a router answers a request and dies before its bill is in the log; nobody is billed.
 * One notices by answers without a bill. Its witness keeps a copy, and appends it in the dead router's name; so does a
 * peer beyond their failure domain, with which both may be lost. The fold takes each author's items once and in
 * sequence, so it makes no difference whether the author was only paused and appends them too.
 */
class ItemCopies {
public:
    /** Items kept for one author; one that can't reach the log for longer has to answer without a copy. */
    static constexpr std::size_t maxItems = 20'000;

    explicit ItemCopies(const ledger::Fold& fold)
        : fold_(&fold)
    {
    }

    /**
     * @param items An author's items in sequence.
     * @param now When they came.
     * @return The last sequence up to which nothing is missing here or in the ledger; nothing when none was taken.
     */
    [[nodiscard]] std::optional<std::uint64_t> keep(const std::vector<ledger::Item>& items, Instant now);

    /** @return The author's items that have not landed, ready to be appended; empty when there are none. */
    [[nodiscard]] ledger::Batch batchOf(Incarnation author) const;

    /** @return When the author last sent items that are kept; nothing when none are. */
    [[nodiscard]] std::optional<Instant> lastSent(Incarnation author) const;

    /** @return Whose items are kept. */
    [[nodiscard]] std::vector<Incarnation> authors() const;

    /** The author's items up to this one have landed. */
    void onLanded(const ledger::Landed& landed);

    [[nodiscard]] std::size_t size() const noexcept;

private:
    using Items = std::map<std::uint64_t, ledger::Item>;

    struct Kept {
        Items items;
        Instant lastSent {};
    };

    [[nodiscard]] std::uint64_t contiguous(Incarnation author, const Items& items) const;

    const ledger::Fold* fold_;
    std::map<Incarnation, Kept> copies_;
};

} // namespace swiftlift::node
