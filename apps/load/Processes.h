#pragma once

#include <vector>

namespace swiftlift::load {

/** Resource usage of a process, read from /proc. */
struct ProcessReading {
    /** Process id. */
    int process = 0;
    /** False: no process has this id. */
    bool found = false;
    /** User and system time since the process started. */
    double processorSeconds = 0;
    double residentBytes = 0;
    /** Maximum resident memory since the process started. */
    double peakBytes = 0;
    double threads = 0;
};

[[nodiscard]] ProcessReading readProcess(int process);
[[nodiscard]] std::vector<ProcessReading> readProcesses(const std::vector<int>& processes);

} // namespace swiftlift::load
