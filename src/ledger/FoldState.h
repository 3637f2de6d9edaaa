#pragma once

#include <cstddef>

#include "ledger/FoldBalances.h"
#include "ledger/FoldKeyWindow.h"
#include "ledger/FoldOrigins.h"
#include "swiftlift/ledger/Fold.h"

namespace swiftlift::ledger::internal {

/** The fold's state, which a checkpoint contains in full. */
struct FoldState {
    explicit FoldState(const FoldLimits& limits)
        : origins(limits.origins)
        , bills(limits.keys)
        , claims(limits.keys)
    {
    }

    Balances balances;
    Origins origins;
    /** Tokens billed under each key. */
    KeyWindow<Tokens> bills;
    /** Owner of each key that was claimed; the null incarnation when the key is void. */
    KeyWindow<Incarnation> claims;
};

} // namespace swiftlift::ledger::internal
