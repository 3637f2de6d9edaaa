#include <iostream>
#include <string>
#include <vector>

#include "ctl/CommandLine.h"
#include "ctl/Report.h"
#include "ctl/Run.h"

int main(int argc, char** argv)
{
    using namespace swiftlift::ctl;
    swiftlift::Findings findings;
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto line = parseCommandLine(arguments, findings);
    if (!line) {
        std::cerr << findingsReport(findings).text;
        return static_cast<int>(ExitCode::Usage);
    }
    const auto report = run(*line);
    if (line->json) {
        std::cout << report.json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
    } else {
        (report.code == ExitCode::Ok ? std::cout : std::cerr) << report.text;
    }
    return static_cast<int>(report.code);
}
