#pragma once

#include <string>

#include "ledger/ExploreWorld.h"

namespace swiftlift::ledger::explore {

// Short texts of ledger objects for schedules and for comparing states.
[[nodiscard]] std::string textOf(const GrantId& id);
[[nodiscard]] std::string textOf(const Entry& entry);
[[nodiscard]] std::string textOf(const Message& message);

} // namespace swiftlift::ledger::explore
