#pragma once

#include <optional>
#include <string>
#include <vector>

#include "ledger/FoldState.h"
#include "swiftlift/ledger/Entry.h"
#include "swiftlift/ledger/Fold.h"

namespace swiftlift::ledger::internal {

/** Why an entry is refused; nothing when it stands. */
using Refusal = std::optional<std::string>;

/** @brief Applies the items of one record to the state, by the rules in docs/LEDGER.md. */
class Rules {
public:
    Rules(FoldState& state, Offset at, std::vector<Effect>& effects);

    /** @brief Takes one item: a repeat is ignored, a hole refused, the next in sequence applied. */
    void take(const Item& item);

private:
    [[nodiscard]] Refusal rule(Incarnation origin, const OpenAccount& entry);
    [[nodiscard]] Refusal rule(Incarnation origin, const CloseAccount& entry);
    [[nodiscard]] Refusal rule(Incarnation origin, const TopUp& entry);
    [[nodiscard]] Refusal rule(Incarnation origin, const Fund& entry);
    [[nodiscard]] Refusal rule(Incarnation origin, const Draw& entry);
    [[nodiscard]] Refusal rule(Incarnation origin, const Return& entry);
    [[nodiscard]] Refusal rule(Incarnation origin, const CloseGrant& entry);
    [[nodiscard]] Refusal rule(Incarnation origin, const WriteOff& entry);
    void close(GrantView& grant);
    [[nodiscard]] Refusal rule(Incarnation origin, const ChangeWitness& entry);
    [[nodiscard]] Refusal rule(Incarnation origin, const Seal& entry);
    [[nodiscard]] Refusal rule(Incarnation origin, const Bill& entry);
    [[nodiscard]] Refusal rule(Incarnation origin, const Claim& entry);
    [[nodiscard]] Refusal rule(Incarnation origin, const VoidClaim& entry);
    [[nodiscard]] Refusal rule(Incarnation origin, const Checkpoint& entry);

    [[nodiscard]] Refusal refusalOf(Incarnation origin, const Draw& entry);
    void admit(const Draw& entry, Tokens admitted);
    [[nodiscard]] std::string missing(const GrantId& id) const;
    void changed(const GrantView& grant);

    FoldState& state_;
    Offset at_;
    std::vector<Effect>& effects_;
};

} // namespace swiftlift::ledger::internal
