#include <filesystem>
#include <iostream>

#include <unistd.h>

#include "platform/PlatformFleet.h"

namespace {

using swiftlift::platform::test::CallerAnswer;
using swiftlift::platform::test::CallerRequest;
using swiftlift::platform::test::PlatformFleet;

constexpr std::int64_t budget = 60'000;

/** Prints the answer's status and first line. @return Whether the answer has the expected status. */
bool show(const std::string& title, const CallerAnswer& answer, unsigned expected)
{
    std::cout << title << "\n  -> " << answer.status << "\n";
    std::cout << answer.body.substr(0, answer.body.find('\n')) << "\n\n";
    return answer.status == expected;
}

/** Runs all steps of the demonstration. @return Whether the fleet started and all statuses were as expected. */
bool run(PlatformFleet& fleet)
{
    bool succeeded = fleet.start();
    std::cout << "Two routers, a store and four engines on loopback; account `club` has " << budget << " tokens.\n\n";
    succeeded = show("A plain call:", fleet.send(0, {}), 200) && succeeded;
    succeeded
        = show("A stream of events:", fleet.send(1, { .path = "/stream/x", .id = "s1", .tokens = "1200,35" }), 200)
        && succeeded;
    succeeded = show("An unknown key:", fleet.send(0, { .id = "k", .key = "another" }), 401) && succeeded;
    succeeded = show("More than the account has left:",
                    fleet.send(0, { .path = "/stream/x", .id = "big", .tokens = "70000,35" }), 402)
        && succeeded;
    fleet.publish(2 * budget);
    CallerAnswer afterRaise;
    for (int attempt = 0; attempt < 100 && afterRaise.status != 200; ++attempt) {
        afterRaise
            = fleet.send(0, { .path = "/stream/x", .id = "big" + std::to_string(attempt), .tokens = "70000,35" });
        ::usleep(50'000);
    }
    return show("The same after the operator has doubled the total:", afterRaise, 200) && succeeded;
}

} // namespace

int main()
{
    const auto folder = std::filesystem::temp_directory_path() / ("swiftlift-demo-" + std::to_string(::getpid()));
    bool succeeded = false;
    {
        PlatformFleet fleet(SWIFTLIFT_ROUTER, folder, budget);
        succeeded = run(fleet);
    }
    std::filesystem::remove_all(folder);
    std::cout << (succeeded ? "All answers had the expected status.\n"
                            : "The fleet did not start, or the status of an answer was not as expected.\n");
    return succeeded ? 0 : 1;
}
