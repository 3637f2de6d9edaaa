#include "capacity/Options.h"

#include "swiftlift/base/Numbers.h"

#include <getopt.h>

#include <iostream>
#include <string_view>

namespace swiftlift::capacity {

namespace {

    constexpr int mostRepeats = 9;

    [[nodiscard]] bool readRepeats(std::string_view text, int& repeats)
    {
        repeats = parseWhole<int>(text).value_or(0);
        return repeats >= 1 && repeats <= mostRepeats;
    }

} // namespace

std::optional<Options> parseOptions(int argc, char** argv)
{
    static const option known[] = { { "csv", required_argument, nullptr, 'o' },
        { "axis", required_argument, nullptr, 'a' }, { "repeats", required_argument, nullptr, 'r' },
        { "list", no_argument, nullptr, 'l' }, { "help", no_argument, nullptr, 'h' }, { nullptr, 0, nullptr, 0 } };
    Options options;
    optind = 1;
    for (int letter = 0; (letter = getopt_long(argc, argv, "o:a:r:lh", known, nullptr)) != -1;) {
        switch (letter) {
        case 'o':
            options.csvFile = optarg;
            break;
        case 'a':
            options.run.only = optarg;
            break;
        case 'r':
            if (!readRepeats(optarg, options.run.repeats)) {
                std::cerr << "--repeats takes a number from 1 to " << mostRepeats << '\n';
                return {};
            }
            break;
        case 'l':
            options.list = true;
            break;
        case 'h':
            options.help = true;
            break;
        default:
            return {};
        }
    }
    if (optind != argc) {
        std::cerr << "unexpected argument: " << argv[optind] << '\n';
        return {};
    }
    return options;
}

} // namespace swiftlift::capacity
