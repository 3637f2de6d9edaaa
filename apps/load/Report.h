#pragma once

#include <iosfwd>
#include <string>

#include "load/Options.h"
#include "load/Summary.h"

namespace swiftlift::load {

/** @brief Writes the results as a table for reading on a terminal. */
void writeTable(std::ostream& out, const Summary& summary);

/** @return JSON with the results and the options that affect them. */
[[nodiscard]] std::string toJson(const Options& options, const Summary& summary);

} // namespace swiftlift::load
