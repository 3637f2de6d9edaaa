#include <csignal>
#include <iostream>

#include "CommandLine.h"
#include "RouterProcess.h"

namespace {

using swiftlift::Findings;
using swiftlift::router::CommandLine;

constexpr int exitFine = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;
constexpr const char* version = "0.1.0";

void print(const Findings& findings)
{
    for (const auto& finding : findings) {
        std::cerr << swiftlift::toText(finding) << "\n";
    }
}

/** Signals that end the process are taken by the main thread alone: blocked here, before any other thread exists. */
sigset_t blockStopSignals()
{
    sigset_t signals {};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int run(const swiftlift::settings::RouterSettings& settings)
{
    const sigset_t signals = blockStopSignals();
    const std::uint64_t seed = settings.seed.value_or(swiftlift::transport::drawIncarnation().value());
    swiftlift::router::RouterProcess router(settings, seed);
    if (const auto findings = router.listen(); !findings.empty()) {
        print(findings);
        return exitFailed;
    }
    router.start();
    int signal = 0;
    sigwait(&signals, &signal);
    router.stop();
    return exitFine;
}

} // namespace

int main(int argc, char** argv)
{
    const auto line = swiftlift::router::parseCommandLine(argc, argv);
    if (!line) {
        std::cerr << swiftlift::router::helpText();
        return exitUsage;
    }
    if (line->task == CommandLine::Task::Help) {
        std::cout << swiftlift::router::helpText();
        return exitFine;
    }
    if (line->task == CommandLine::Task::Version) {
        std::cout << "swiftlift-router " << version << "\n";
        return exitFine;
    }
    Findings findings;
    const auto settings = swiftlift::settings::readRouterSettings(line->settingsFile, findings);
    if (!settings) {
        print(findings);
        return exitUsage;
    }
    return line->task == CommandLine::Task::Check ? exitFine : run(*settings);
}
