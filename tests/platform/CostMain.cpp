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
 * What a request costs a router in the platform's dialect: processor time and wake-ups, as its threads count them.
 *
 * Callers send one request after the other, streams of 42 events or whole answers, to one router of a small fleet on
 * loopback. `swiftlift-platform-cost [REQUESTS [CALLERS [stream|plain]]]`; compare two builds in one sitting.
 */
namespace {

using swiftlift::platform::test::PlatformFleet;

constexpr std::int64_t budget = 2'000'000'000;
constexpr unsigned eventsOfStream = 42;
constexpr unsigned betweenEventsMs = 20;

struct Options {
    std::uint64_t requests = 1'000;
    unsigned callers = 16;
    bool streams = true;
};

/** What a process has used so far, over all its threads. */
struct Used {
    double processorSeconds = 0;
    std::uint64_t wakeUps = 0;
};

double ticksOf(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    constexpr int beforeTimes = 11;
    std::string skipped;
    for (int index = 0; index < beforeTimes; ++index) {
        fields >> skipped;
    }
    double user = 0;
    double kernel = 0;
    fields >> user >> kernel;
    return user + kernel;
}

std::uint64_t wakeUpsOf(const std::filesystem::path& thread)
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

Used usedBy(pid_t process)
{
    Used used;
    used.processorSeconds = ticksOf(process) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    for (const auto& thread : std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/task")) {
        used.wakeUps += wakeUpsOf(thread.path());
    }
    return used;
}

/** @return Requests that were answered with 200. */
std::uint64_t load(const PlatformFleet& fleet, const Options& options)
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

void report(const Options& options, std::uint64_t answered, const Used& before, const Used& after, double idleShare)
{
    const auto requests = static_cast<double>(options.requests);
    const double milliseconds = (after.processorSeconds - before.processorSeconds) * 1000;
    std::cout << std::fixed << std::setprecision(3) << answered << " of " << options.requests << " answered; "
              << milliseconds / requests << " ms of processor and "
              << static_cast<double>(after.wakeUps - before.wakeUps) / requests << " wake-ups a request";
    if (options.streams) {
        std::cout << " of " << eventsOfStream << " events";
    }
    std::cout << "; at rest " << idleShare * 1000 << " ms a second\n";
}

int measure(const Options& options, const std::filesystem::path& folder)
{
    PlatformFleet fleet(SWIFTLIFT_ROUTER, folder, budget);
    for (std::size_t engine = 0; engine < 4; ++engine) {
        fleet.engine(engine).control({ { "events", eventsOfStream }, { "between_events_ms", betweenEventsMs } });
    }
    if (!fleet.start()) {
        std::cerr << "the fleet did not become ready\n";
        return 1;
    }
    const pid_t router = fleet.router(0).pid();
    std::cout << "router " << router << std::endl;
    const Used atRest = usedBy(router);
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const Used before = usedBy(router);
    const std::uint64_t answered = load(fleet, options);
    report(options, answered, before, usedBy(router), (before.processorSeconds - atRest.processorSeconds) / 3);
    return answered == options.requests ? 0 : 1;
}

} // namespace

int main(int count, char** arguments)
{
    const std::vector<std::string> words(arguments + 1, arguments + count);
    Options options;
    options.requests = words.empty() ? options.requests : std::stoull(words[0]);
    options.callers = words.size() < 2 ? options.callers : static_cast<unsigned>(std::stoul(words[1]));
    options.streams = words.size() < 3 || words[2] == "stream";
    const auto folder = std::filesystem::temp_directory_path() / ("swiftlift-cost-" + std::to_string(::getpid()));
    const int status = measure(options, folder);
    std::filesystem::remove_all(folder);
    return status;
}
