#include "CommandLine.h"

#include <array>
#include <iostream>

#include <getopt.h>

namespace swiftlift::router {

const char* helpText() noexcept
{
    return "swiftlift-router: routes callers' requests to backend servers and bills prepaid token budgets.\n"
           "\n"
           "  -s, --settings FILE  settings in YAML, see docs/SETTINGS.md\n"
           "  -c, --check          read and check the settings, then end\n"
           "  -h, --help           this text\n"
           "  -V, --version        the version\n";
}

std::optional<CommandLine> parseCommandLine(int argc, char** argv)
{
    const std::array<option, 5> options { { { "settings", required_argument, nullptr, 's' },
        { "check", no_argument, nullptr, 'c' }, { "help", no_argument, nullptr, 'h' },
        { "version", no_argument, nullptr, 'V' }, { nullptr, 0, nullptr, 0 } } };
    CommandLine line;
    for (int found = 0; (found = ::getopt_long(argc, argv, "s:chV", options.data(), nullptr)) != -1;) {
        switch (found) {
        case 's':
            line.settingsFile = optarg;
            break;
        case 'c':
            line.task = CommandLine::Task::Check;
            break;
        case 'h':
            line.task = CommandLine::Task::Help;
            return line;
        case 'V':
            line.task = CommandLine::Task::Version;
            return line;
        default:
            return std::nullopt;
        }
    }
    if (optind != argc) {
        std::cerr << "unexpected argument: " << argv[optind] << "\n";
        return std::nullopt;
    }
    if (line.settingsFile.empty()) {
        std::cerr << "--settings FILE is missing\n";
        return std::nullopt;
    }
    return line;
}

} // namespace swiftlift::router
