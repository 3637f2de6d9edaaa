#pragma once

#include <vector>

namespace swiftlift::load {

/** What the kernel says of a process. */
struct ProcessReading {
    int process = 0;
    /** False: there is no such process. */
    bool found = false;
    double processorSeconds = 0;
    double residentBytes = 0;
    /** Most ever resident. */
    double peakBytes = 0;
    double threads = 0;
};

[[nodiscard]] ProcessReading readProcess(int process);
[[nodiscard]] std::vector<ProcessReading> readProcesses(const std::vector<int>& processes);

} // namespace swiftlift::load
