#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

#include "platform/PlatformFleet.h"

/**
 * Measures the cost of a request for a router with the platform's dialect: processor time and wake-ups of its threads.
 *
 * Each caller sends its requests one after the other to one router of a small fleet on loopback. The answers are
 * streams of 42 events, or are sent as a whole. Usage: `swiftlift-platform-cost [REQUESTS [CALLERS [stream|plain]]]`.
 * Results are only comparable between builds that run on the same machine at about the same time.
 */
namespace {

using swiftlift::platform::test::PlatformFleet;

constexpr std::int64_t budget = 2'000'000'000;
constexpr unsigned eventsPerStream = 42;
constexpr unsigned eventIntervalMs = 20;

struct Options {
    std::uint64_t requests = 1'000;
    unsigned callers = 16;
    bool streams = true;
};

/** Resources that all threads of a process have used since its start. */
struct ResourceUsage {
    double processorSeconds = 0;
    std::uint64_t wakeUps = 0;
};

/** @return User and kernel time of a process in clock ticks. */
double processorTicks(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    // Fields of /proc/PID/stat between the process name and the user time.
    constexpr int fieldsBeforeTimes = 11;
    std::string skipped;
    for (int index = 0; index < fieldsBeforeTimes; ++index) {
        fields >> skipped;
    }
    double user = 0;
    double kernel = 0;
    fields >> user >> kernel;
    return user + kernel;
}

/** @return Voluntary context switches of a thread, given its folder in /proc. */
std::uint64_t threadWakeUps(const std::filesystem::path& thread)
{
    const std::string name = "voluntary_ctxt_switches:";
    std::ifstream file(thread / "status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(name)) {
            return std::stoull(line.substr(name.size()));
        }
    }
    return 0;
}

ResourceUsage resourceUsageOf(pid_t process)
{
    ResourceUsage usage;
    usage.processorSeconds = processorTicks(process) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    for (const auto& thread : std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/task")) {
        usage.wakeUps += threadWakeUps(thread.path());
    }
    return usage;
}

/** @return Number of requests that were answered with status 200. */
std::uint64_t sendRequests(const PlatformFleet& fleet, const Options& options)
{
    std::atomic<std::uint64_t> next = 0;
    std::atomic<std::uint64_t> answered = 0;
    const auto call = [&] {
        for (std::uint64_t number = next++; number < options.requests; number = next++) {
            const std::string id = "cost" + std::to_string(number);
            const auto answer = options.streams ? fleet.send(0, { .path = "/stream/x", .id = id, .tokens = "1200,350" })
                                                : fleet.send(0, { .id = id });
            answered += answer.status == 200 ? 1 : 0;
        }
    };
    std::vector<std::thread> callers;
    for (unsigned caller = 0; caller < options.callers; ++caller) {
        callers.emplace_back(call);
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    return answered;
}

/** @param idleLoad Processor time of the router without requests, in seconds per second. */
void report(const Options& options, std::uint64_t answered, const ResourceUsage& before, const ResourceUsage& after,
    double idleLoad)
{
    const auto requests = static_cast<double>(options.requests);
    const double milliseconds = (after.processorSeconds - before.processorSeconds) * 1000;
    std::cout << std::fixed << std::setprecision(3) << answered << " of " << options.requests << " answered; "
              << milliseconds / requests << " ms of processor time and "
              << static_cast<double>(after.wakeUps - before.wakeUps) / requests << " wake-ups per request";
    if (options.streams) {
        std::cout << " of " << eventsPerStream << " events";
    }
    std::cout << "; at rest (no requests) " << idleLoad * 1000 << " ms of processor time per second\n";
}

int measure(const Options& options, const std::filesystem::path& folder)
{
    PlatformFleet fleet(SWIFTLIFT_ROUTER, folder, budget);
    for (std::size_t engine = 0; engine < 4; ++engine) {
        fleet.engine(engine).control({ { "events", eventsPerStream }, { "between_events_ms", eventIntervalMs } });
    }
    if (!fleet.start()) {
        std::cerr << "the fleet did not become ready\n";
        return 1;
    }
    const pid_t router = fleet.router(0).pid();
    std::cout << "router " << router << std::endl;
    const ResourceUsage atRest = resourceUsageOf(router);
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const ResourceUsage before = resourceUsageOf(router);
    const std::uint64_t answered = sendRequests(fleet, options);
    report(options, answered, before, resourceUsageOf(router), (before.processorSeconds - atRest.processorSeconds) / 3);
    return answered == options.requests ? 0 : 1;
}

} // namespace

int main(int count, char** arguments)
{
    const std::vector<std::string> parameters(arguments + 1, arguments + count);
    Options options;
    options.requests = parameters.empty() ? options.requests : std::stoull(parameters[0]);
    options.callers = parameters.size() < 2 ? options.callers : static_cast<unsigned>(std::stoul(parameters[1]));
    options.streams = parameters.size() < 3 || parameters[2] == "stream";
    const auto folder = std::filesystem::temp_directory_path() / ("swiftlift-cost-" + std::to_string(::getpid()));
    const int status = measure(options, folder);
    std::filesystem::remove_all(folder);
    return status;
}
