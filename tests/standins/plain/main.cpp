#include "common/Program.h"
#include "plain/PlainService.h"

int main(int argc, char** argv)
{
    using namespace swiftlift::standins;
    PlainSettings settings;
    Options options;
    options.addNumber("call-ms", "time that a call takes", settings.callMs);
    options.addNumber("load-lag-ms", "age of the load report", settings.loadLagMs);
    return runProgram(argc, argv, options, [&settings] { return std::make_unique<PlainService>(settings); });
}
