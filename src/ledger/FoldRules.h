#pragma once

#include <optional>
#include <string>
#include <vector>

#include "ledger/FoldState.h"
#include "swiftlift/ledger/Entry.h"
#include "swiftlift/ledger/Fold.h"

namespace swiftlift::ledger::internal {

/** Reason for which an entry is refused; `std::nullopt` when the entry is accepted. */
using Refusal = std::optional<std::string>;

/** @brief Applies the items of one record to the state, by the rules in docs/LEDGER.md. */
class FoldRules {
public:
    /**
     * @param state State to which the items are applied.
     * @param offset Offset of the record.
     * @param effects Receives the effects of the items, appended in order.
     */
    FoldRules(FoldState& state, Offset offset, std::vector<Effect>& effects);

    /**
     * @brief Applies an item when it is the next of its author's sequence. A repeated item is ignored, and an item that
     * leaves a gap in the sequence is refused.
     */
    void applyItem(const Item& item);

private:
    // Each overload applies an entry of one kind, appended by `origin`, or returns why the entry is refused.
    [[nodiscard]] Refusal applyEntry(Incarnation origin, const OpenAccount& entry);
    [[nodiscard]] Refusal applyEntry(Incarnation origin, const CloseAccount& entry);
    [[nodiscard]] Refusal applyEntry(Incarnation origin, const TopUp& entry);
    [[nodiscard]] Refusal applyEntry(Incarnation origin, const Fund& entry);
    [[nodiscard]] Refusal applyEntry(Incarnation origin, const Draw& entry);
    [[nodiscard]] Refusal applyEntry(Incarnation origin, const Return& entry);
    [[nodiscard]] Refusal applyEntry(Incarnation origin, const CloseGrant& entry);
    [[nodiscard]] Refusal applyEntry(Incarnation origin, const WriteOff& entry);
    /** Closes a grant that is open or sealed and emits the effects. */
    void closeGrant(GrantView& grant);
    [[nodiscard]] Refusal applyEntry(Incarnation origin, const ChangeWitness& entry);
    [[nodiscard]] Refusal applyEntry(Incarnation origin, const Seal& entry);
    [[nodiscard]] Refusal applyEntry(Incarnation origin, const Bill& entry);
    [[nodiscard]] Refusal applyEntry(Incarnation origin, const Claim& entry);
    [[nodiscard]] Refusal applyEntry(Incarnation origin, const VoidClaim& entry);
    [[nodiscard]] Refusal applyEntry(Incarnation origin, const Checkpoint& entry);

    /** @return Why the draw breaks a rule; `std::nullopt` when it breaks none. */
    [[nodiscard]] Refusal refusalOfDraw(Incarnation origin, const Draw& entry);
    /** Adds the grant of a draw with the admitted tokens to the state. */
    void addAdmittedGrant(const Draw& entry, Tokens admitted);
    /** @return Reason to refuse an entry on a grant that is neither open nor sealed. */
    [[nodiscard]] std::string missingGrantReason(const GrantId& id) const;
    /** Emits `GrantChanged` for the grant and `BudgetChanged` for its budget. */
    void emitGrantChanged(const GrantView& grant);

    FoldState& state_;
    Offset offset_;
    std::vector<Effect>& effects_;
};

} // namespace swiftlift::ledger::internal
