#pragma once

#include <optional>
#include <string>

#include "capacity/Runner.h"

namespace swiftlift::capacity {

struct Options {
    RunSettings run;
    /** Empty: no CSV. */
    std::string csvFile;
    bool help = false;
    bool list = false;
};

inline constexpr const char* usage
    = "usage: swiftlift-capacity [options]\n"
      "Runs the router's own code at several sizes and fits a straight line to each counter.\n"
      "  -o, --csv FILE       write every point as CSV\n"
      "  -a, --axis PREFIX    only axes whose names start with PREFIX\n"
      "  -r, --repeats N      runs of each size, the least value counts (1 to 9, default 3)\n"
      "  -l, --list           name the axes and their sizes\n"
      "  -h, --help           this text\n";

/** @return The options; nothing when the command line can't be read, with the reason on standard error. */
[[nodiscard]] std::optional<Options> parseOptions(int argc, char** argv);

} // namespace swiftlift::capacity
