#include "common/Options.h"

#include <exception>
#include <getopt.h>

namespace swiftlift::standins {

Options::Options() { addText("listen", "ip:port to listen on; port 0 lets the system choose", listen_); }

void Options::add(std::string name, std::string help, std::function<void(const std::string&)> setter)
{
    flags_.push_back({ std::move(name), std::move(help), std::move(setter) });
}

void Options::addNumber(std::string name, std::string help, double& target)
{
    add(std::move(name), std::move(help), [&target](const std::string& text) { target = std::stod(text); });
}

void Options::addNumber(std::string name, std::string help, std::uint64_t& target)
{
    add(std::move(name), std::move(help), [&target](const std::string& text) { target = std::stoull(text); });
}

void Options::addText(std::string name, std::string help, std::string& target)
{
    add(std::move(name), std::move(help), [&target](const std::string& text) { target = text; });
}

Findings Options::parse(int argc, char** argv) const
{
    std::vector<option> table;
    for (const auto& flag : flags_) {
        table.push_back({ flag.name.c_str(), required_argument, nullptr, 0 });
    }
    table.push_back({ nullptr, 0, nullptr, 0 });
    Findings findings;
    int index = 0;
    optind = 1;
    for (int found = 0; (found = getopt_long(argc, argv, "", table.data(), &index)) != -1;) {
        if (found != 0) {
            findings.push_back({ .source = "command line", .message = "unknown flag or missing value" });
            continue;
        }
        const auto& flag = flags_.at(static_cast<std::size_t>(index));
        try {
            flag.setter(optarg);
        } catch (const std::exception&) {
            findings.push_back({ .source = "--" + flag.name, .message = "can't be read: " + std::string(optarg) });
        }
    }
    return findings;
}

std::string Options::usage() const
{
    std::string text;
    for (const auto& flag : flags_) {
        text += "  --" + flag.name + "  " + flag.help + "\n";
    }
    return text;
}

} // namespace swiftlift::standins
