#include "load/Processes.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace swiftlift::load {

namespace {

    /** @return Peak resident memory in bytes, which /proc reports in kB; 0 if it is not reported. */
    [[nodiscard]] double readPeakBytes(int process)
    {
        constexpr double bytesPerKilobyte = 1024;
        std::ifstream in("/proc/" + std::to_string(process) + "/status");
        for (std::string name; in >> name;) {
            if (name == "VmHWM:") {
                double kilobytes = 0;
                in >> kilobytes;
                return kilobytes * bytesPerKilobyte;
            }
        }
        return 0;
    }

} // namespace

ProcessReading readProcess(int process)
{
    ProcessReading reading;
    reading.process = process;
    std::ifstream in("/proc/" + std::to_string(process) + "/stat");
    std::string text;
    if (!std::getline(in, text)) {
        return reading;
    }
    // The process name is in parentheses and may contain spaces. The fields after it are the state, 10 others, and
    // the user and system time.
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    constexpr int fieldsBeforeTimes = 11;
    constexpr int fieldsBeforeThreads = 4;
    constexpr int fieldsBeforeResident = 3;
    std::string skipped;
    const auto skip = [&](int count) {
        for (int field = 0; field < count; ++field) {
            fields >> skipped;
        }
    };
    double user = 0;
    double system = 0;
    double resident = 0;
    skip(fieldsBeforeTimes);
    fields >> user >> system;
    skip(fieldsBeforeThreads);
    fields >> reading.threads;
    skip(fieldsBeforeResident);
    fields >> resident;
    reading.found = static_cast<bool>(fields);
    reading.processorSeconds = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    reading.residentBytes = resident * static_cast<double>(sysconf(_SC_PAGESIZE));
    reading.peakBytes = readPeakBytes(process);
    return reading;
}

std::vector<ProcessReading> readProcesses(const std::vector<int>& processes)
{
    std::vector<ProcessReading> readings;
    readings.reserve(processes.size());
    for (const int process : processes) {
        readings.push_back(readProcess(process));
    }
    return readings;
}

} // namespace swiftlift::load
