#pragma once

#include <cstddef>

#include "ledger/FoldBooks.h"
#include "ledger/FoldKeyWindow.h"
#include "ledger/FoldOrigins.h"
#include "swiftlift/ledger/Fold.h"

namespace swiftlift::ledger::internal {

/** Everything a checkpoint carries. */
struct FoldState {
    explicit FoldState(const FoldLimits& limits)
        : origins(limits.origins)
        , bills(limits.keys)
        , claims(limits.keys)
    {
    }

    Books books;
    Origins origins;
    KeyWindow<Tokens> bills;
    KeyWindow<Incarnation> claims;
};

} // namespace swiftlift::ledger::internal
