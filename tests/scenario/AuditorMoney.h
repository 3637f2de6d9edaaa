#pragma once

#include <map>
#include <string>

#include "Auditor.h"

namespace swiftlift::scenario {

/** Counts overspend and refusals for budget, false ones among them. */
void auditMoney(const Evidence& evidence, std::map<std::string, AuditCount>& counts);

} // namespace swiftlift::scenario
