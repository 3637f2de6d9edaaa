#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include <getopt.h>
#include <pthread.h>
#include <unistd.h>

#include "Errors.h"
#include "LuaRuntime.h"
#include "Prelude.h"
#include "Process.h"
#include "World.h"

namespace swiftlift::scenario {

namespace internal {

    constexpr int passed = 0;
    constexpr int failed = 1;
    constexpr int broken = 2;
    constexpr int signalStatusBase = 128;
    constexpr std::size_t shownLogLines = 15;

    struct CommandLine {
        std::filesystem::path script;
        std::filesystem::path programs;
        std::optional<std::uint64_t> seed;
        bool keep = false;
    };

    constexpr const char* usage = "usage: swiftlift-scenario [--bin DIR] [--seed N] [--keep] FILE.lua\n"
                                  "  --bin DIR  folder of the programs (default: this program's own)\n"
                                  "  --seed N   repeats a run's draws (default: random, printed)\n"
                                  "  --keep     keeps the folder with settings and logs of a run that passed\n";

    std::optional<CommandLine> readCommandLine(int argc, char** argv)
    {
        const option options[]
            = { { "bin", required_argument, nullptr, 'b' }, { "seed", required_argument, nullptr, 's' },
                  { "keep", no_argument, nullptr, 'k' }, { nullptr, 0, nullptr, 0 } };
        CommandLine line;
        line.programs = std::filesystem::read_symlink("/proc/self/exe").parent_path();
        for (int found = 0; (found = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
            if (found == 'b')
                line.programs = std::filesystem::absolute(optarg);
            else if (found == 's')
                line.seed = std::strtoull(optarg, nullptr, 10);
            else if (found == 'k')
                line.keep = true;
            else
                return std::nullopt;
        }
        if (optind + 1 != argc)
            return std::nullopt;
        line.script = argv[optind];
        return line;
    }

    /** Ends the runner's processes and the runner on SIGINT and SIGTERM, whatever its other threads are doing. */
    void endOnSignals()
    {
        static sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGTERM);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        std::thread([] {
            int number = 0;
            sigwait(&signals, &number);
            endAllProcesses();
            ::_exit(signalStatusBase + number);
        }).detach();
    }

    std::filesystem::path makeFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "swiftlift-scenario-XXXXXX").string();
        if (!::mkdtemp(name.data()))
            throw BrokenScript("cannot make a folder for the run");
        return name;
    }

    std::string readScript(const std::filesystem::path& path)
    {
        std::ifstream file(path);
        if (!file)
            throw BrokenScript("cannot read " + path.string());
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    void runScript(const CommandLine& line, World& world)
    {
        LuaRuntime lua;
        addFleetVerbs(lua, world);
        addOperatorVerbs(lua, world);
        addRequestVerbs(lua, world);
        addCheckVerbs(lua, world);
        lua.run(prelude, "prelude");
        lua.run(readScript(line.script), line.script.filename().string());
    }

    void showFailure(World& world, const std::string& verdict, const std::string& text)
    {
        std::cerr << verdict << ": " << text << '\n';
        try {
            std::cerr << world.fleet().lastLogLines(shownLogLines);
        } catch (const BrokenScript&) {
            std::cerr << "(no fleet)\n";
        }
        std::cerr << "settings and logs are kept in " << world.folder().string() << '\n';
    }

    int verdictOf(const CommandLine& line, World& world)
    {
        try {
            runScript(line, world);
            std::cout << "passed" << std::endl;
            return passed;
        } catch (const ExpectationFailed& error) {
            showFailure(world, "failed", error.what());
            return failed;
        } catch (const std::exception& error) {
            showFailure(world, "broken script", error.what());
            return broken;
        }
    }

    int run(const CommandLine& line)
    {
        const std::uint64_t seed = line.seed.value_or(std::random_device {}());
        const auto folder = makeFolder();
        std::cout << "scenario " << line.script.filename().string() << ", seed " << seed << std::endl;
        int verdict = broken;
        {
            World world(line.programs, folder, seed);
            verdict = verdictOf(line, world);
        }
        if (verdict == passed && !line.keep)
            std::filesystem::remove_all(folder);
        return verdict;
    }

} // namespace internal

} // namespace swiftlift::scenario

int main(int argc, char** argv)
{
    namespace internal = swiftlift::scenario::internal;
    const auto line = internal::readCommandLine(argc, argv);
    if (!line) {
        std::cerr << internal::usage;
        return internal::broken;
    }
    try {
        internal::endOnSignals();
        return internal::run(*line);
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return internal::broken;
    }
}
