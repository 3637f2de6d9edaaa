#pragma once

#include "ctl/CommandLine.h"
#include "ctl/Report.h"
#include "swiftlift/settings/CtlSettings.h"

namespace swiftlift::ctl {

/** @brief Carries one command out. */
[[nodiscard]] Report run(const CommandLine& line);

} // namespace swiftlift::ctl
