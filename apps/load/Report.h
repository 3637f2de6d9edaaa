#pragma once

#include <iosfwd>
#include <string>

#include "load/Options.h"
#include "load/Summary.h"

namespace swiftlift::load {

void writeTable(std::ostream& out, const Summary& summary);

/** @return The run's options that matter to its figures, and the figures. */
[[nodiscard]] std::string toJson(const Options& options, const Summary& summary);

} // namespace swiftlift::load
