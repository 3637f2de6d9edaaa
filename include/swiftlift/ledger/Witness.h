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
 * @brief Acknowledges the ceilings up to which other holders may spend their grants, and seals the grants of a holder
 * that is suspected to have failed.
 *
 * The acknowledged ceilings are kept in memory only. Their loss is safe, because a witness that has restarted is
 * another incarnation and seals no grant of the earlier one. See docs/HOLDINGS.md, rules W1 to W4.
 */
class Witness {
public:
    /**
     * @param self Incarnation under which grants name this witness.
     * @param fold State of the shard; must outlive the witness.
     */
    Witness(Incarnation self, const Fold& fold);
    /** Copies the state of `other`. `fold` must equal the fold of `other`. */
    Witness(const Witness& other, const Fold& fold);

    /** Handles a holder's request to raise the ceilings of its grants. A repeated request is acknowledged again. */
    void onRaise(Incarnation from, const std::vector<Ceiling>& ceilings, LedgerActions& actions);
    /** Stops acknowledging ceilings of this holder for good, and seals its open grants that name this witness. */
    void suspect(Incarnation holder, LedgerActions& actions);
    /** Handles an effect of the fold. All effects have to be passed, in order. */
    void onEffect(const Effect& effect, LedgerActions& actions);

    /**
     * @return Grants of suspected holders that are sealed and name this witness, without holder-only grants, which this
     * witness has promised never to close.
     */
    [[nodiscard]] std::vector<GrantId> sealed() const;
    /** @return Whether `suspect()` was called for this holder. */
    [[nodiscard]] bool suspects(Incarnation holder) const { return suspected_.contains(holder); }
    /** @return The complete state as text, for audits and state exploration. Equal texts imply equal behaviour. */
    [[nodiscard]] std::string stateText() const;

private:
    /** Emits a `Seal` entry when the grant is open, names this witness and has no seal pending. */
    void appendSeal(const GrantView& grant, LedgerActions& actions);

    Incarnation self_;
    const Fold* fold_;
    /** Highest ceiling ever acknowledged for each grant, in tokens, kept until the grant is closed. */
    std::map<GrantId, Tokens> acknowledged_;
    std::set<Incarnation> suspected_;
    /** Holder-only grants: this witness has promised never to close them. */
    std::set<GrantId> holderOnly_;
    /** Grants for which a seal was emitted since they last named this witness. */
    std::set<GrantId> sealAppended_;
};

} // namespace swiftlift::ledger
