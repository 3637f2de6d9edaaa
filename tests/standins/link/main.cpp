#include "common/Program.h"
#include "link/LinkService.h"

int main(int argc, char** argv)
{
    using namespace swiftlift::standins;
    const Options options;
    return runProgram(argc, argv, options, [] { return std::make_unique<LinkService>(); });
}
