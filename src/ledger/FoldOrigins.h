#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "swiftlift/base/Ids.h"

namespace swiftlift::ledger::internal {

/** What the fold remembers of one author. */
struct Origin {
    /** Sequence of its last item that counted. */
    std::uint64_t lastSequence = 0;
    /** Highest number of its draws; a grant up to this number that is not open is closed or was refused. */
    std::uint32_t highestGrant = 0;
    /** How many of its grants are not closed. */
    std::uint32_t openGrants = 0;
    /** One of its grants was sealed: it draws no more. */
    bool retired = false;
    /** Turn of its last item that counted. */
    std::uint64_t turn = 0;
};

/**
 * @brief The authors, of which the longest silent ones are forgotten when there are too many.
 *
 * An author with a grant that is not closed is never forgotten.
 */
class Origins {
public:
    explicit Origins(std::size_t limit);

    [[nodiscard]] const Origin* find(Incarnation id) const;

    /** @return The author, which is known already. */
    [[nodiscard]] Origin& at(Incarnation id);

    /** @brief Takes note that an item of `id` counts, and forgets who has been silent too long. */
    void advance(Incarnation id, std::uint64_t sequence);

    /**
     * @brief Adds an author from a checkpoint, as the one heard last.
     * @return false when it is known already.
     */
    [[nodiscard]] bool add(Incarnation id, Origin origin);

    /** @return The authors by turn, the longest silent one first. */
    [[nodiscard]] const std::map<std::uint64_t, Incarnation>& bySilence() const noexcept;

    [[nodiscard]] std::size_t limit() const noexcept;

private:
    void touch(Incarnation id, Origin& origin);
    void forgetSilent();

    std::size_t limit_;
    std::uint64_t nextTurn_ = 1;
    std::map<Incarnation, Origin> origins_;
    std::map<std::uint64_t, Incarnation> bySilence_;
};

} // namespace swiftlift::ledger::internal
