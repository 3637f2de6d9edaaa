#pragma once

#include "ctl/CommandLine.h"
#include "ctl/Report.h"
#include "swiftlift/settings/CtlSettings.h"

namespace swiftlift::ctl {

/** @brief Runs one command. @return Its result, ready to be printed. */
[[nodiscard]] Report run(const CommandLine& line);

} // namespace swiftlift::ctl
