#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/ledger/Fold.h"
#include "swiftlift/ledger/Holder.h"

namespace swiftlift::ledger {

/**
 * @brief Acknowledges other holders' ceilings, and seals their grants once they are suspected.
 *
 * What it acknowledged is kept in memory only. Safety never needs it to survive: a witness that is gone seals nothing.
 * See docs/HOLDINGS.md, W1 to W4.
 */
class Witness {
public:
    /**
     * @param self Incarnation that grants name as witness.
     * @param fold The reader's state of this shard; outlives the witness.
     */
    Witness(Incarnation self, const Fold& fold);
    /** Copies the state, to go on over an equal fold. */
    Witness(const Witness& other, const Fold& fold);

    /** A holder asks to spend up to these ceilings. Repeats are acknowledged again. */
    void onRaise(Incarnation from, const std::vector<Ceiling>& ceilings, LedgerActions& actions);
    /** Stops acknowledging this holder for good, and seals each of its open grants that name this witness. */
    void suspect(Incarnation holder, LedgerActions& actions);
    /** Takes each effect of the fold, in order. */
    void onEffect(const Effect& effect, LedgerActions& actions);

    /** @return Grants that are sealed under this witness, not closed, and that it never promised not to close. */
    [[nodiscard]] std::vector<GrantId> sealed() const;
    [[nodiscard]] bool suspects(Incarnation holder) const { return suspected_.contains(holder); }
    /** @return Complete state as text; equal texts behave equally. For audits and state exploration. */
    [[nodiscard]] std::string stateText() const;

private:
    void seal(const GrantView& grant, LedgerActions& actions);

    Incarnation self_;
    const Fold* fold_;
    /** Highest ceiling ever acknowledged, kept until the grant is closed. */
    std::map<GrantId, Tokens> acknowledged_;
    std::set<Incarnation> suspected_;
    /** Grants that this witness has promised never to close. */
    std::set<GrantId> holderOnly_;
    /** Grants for which a seal was appended under the present tenure. */
    std::set<GrantId> sealing_;
};

} // namespace swiftlift::ledger
