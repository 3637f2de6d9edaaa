#include "load/Processes.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace swiftlift::load {

namespace {

    /** Resident memory of a process in bytes. */
    struct MemoryReading {
        double resident = 0;
        double peak = 0;
    };

    /**
     * @brief Reads the resident memory and its peak from one read of /proc, so that the peak is never below the present
     * value. /proc/PID/stat counts pages with a delay of its own and can't be compared with the peak.
     * @return The memory; 0 for what is not reported.
     */
    [[nodiscard]] MemoryReading readMemory(int process)
    {
        constexpr double bytesPerKilobyte = 1024;
        MemoryReading reading;
        std::ifstream in("/proc/" + std::to_string(process) + "/status");
        for (std::string line; std::getline(in, line);) {
            std::istringstream fields(line);
            std::string name;
            double kilobytes = 0;
            fields >> name >> kilobytes;
            if (name == "VmHWM:") {
                reading.peak = kilobytes * bytesPerKilobyte;
            } else if (name == "VmRSS:") {
                reading.resident = kilobytes * bytesPerKilobyte;
            }
        }
        return reading;
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
    std::string skipped;
    const auto skip = [&](int count) {
        for (int field = 0; field < count; ++field) {
            fields >> skipped;
        }
    };
    double user = 0;
    double system = 0;
    skip(fieldsBeforeTimes);
    fields >> user >> system;
    skip(fieldsBeforeThreads);
    fields >> reading.threads;
    reading.found = static_cast<bool>(fields);
    reading.processorSeconds = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    const MemoryReading memory = readMemory(process);
    reading.residentBytes = memory.resident;
    reading.peakBytes = memory.peak;
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
