#include "common/Program.h"
#include "log/LogService.h"

int main(int argc, char** argv)
{
    using namespace swiftlift::standins;
    LogSettings settings;
    Options options;
    options.addNumber("appends-per-second", "appends over this rate are answered with 429", settings.appendsPerSecond);
    options.addNumber("retain-records", "newest records of a stream that readers may see", settings.retainRecords);
    options.addNumber("seed", "seed of the losses", settings.seed);
    options.addNumber("forget", "1: free expired records, which the audit then misses", settings.forget);
    return runProgram(argc, argv, options, [&settings] { return std::make_unique<LogService>(settings); });
}
