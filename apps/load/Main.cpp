#include <chrono>
#include <fstream>
#include <iostream>

#include "load/Client.h"
#include "load/Options.h"
#include "load/Processes.h"
#include "load/Report.h"
#include "load/Schedule.h"
#include "load/Summary.h"

namespace {

using namespace swiftlift::load;

constexpr int usageError = 2;

[[nodiscard]] Summary runLoad(const Options& options)
{
    const auto schedule = makeSchedule(options);
    const auto before = readProcesses(options.processes);
    const auto start = std::chrono::steady_clock::now();
    Client client(options);
    const auto results = client.run(schedule);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    Summary summary = summarise(results);
    summary.processes = compareReadings(before, readProcesses(options.processes));
    summary.seconds = elapsed.count();
    return summary;
}

[[nodiscard]] bool writeResults(const Options& options, const Summary& summary)
{
    if (options.jsonFile == "-") {
        std::cout << toJson(options, summary) << '\n';
        return true;
    }
    writeTable(std::cout, summary);
    if (options.jsonFile.empty()) {
        return true;
    }
    std::ofstream out(options.jsonFile);
    out << toJson(options, summary) << '\n';
    out.close();
    if (!out) {
        std::cerr << options.jsonFile << ": cannot write the JSON results\n";
    }
    return static_cast<bool>(out);
}

} // namespace

int main(int argc, char** argv)
{
    swiftlift::Findings findings;
    const Options options = parseOptions(argc, argv, findings);
    for (const auto& finding : findings) {
        std::cerr << toText(finding) << '\n';
    }
    if (!findings.empty()) {
        std::cerr << usage;
        return usageError;
    }
    if (options.help) {
        std::cout << usage;
        return 0;
    }
    try {
        return writeResults(options, runLoad(options)) ? 0 : 1;
    } catch (const std::exception& error) {
        std::cerr << "swiftlift-load: " << error.what() << '\n';
        return 1;
    }
}
