#include "common/Program.h"
#include "vmlist/VmListService.h"

int main(int argc, char** argv)
{
    using namespace swiftlift::standins;
    double lagMs = 0;
    Options options;
    options.addNumber("lag-ms", "age of the list that callers see", lagMs);
    return runProgram(argc, argv, options, [&lagMs] { return std::make_unique<VmListService>(Milliseconds(lagMs)); });
}
