#include <csignal>
#include <ctime>
#include <filesystem>
#include <iostream>
#include <string>
#include <system_error>
#include <utility>

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

/**
 * Signals are taken by the main thread alone: blocked here, before any other thread exists. One that nobody takes, such
 * as the hang-up that tells of changed settings, would end the process and every stream in it.
 */
sigset_t blockSignals()
{
    sigset_t signals {};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/** Notices that a file was written anew; its writer need not send a signal. */
class WatchedFile {
public:
    explicit WatchedFile(std::string path)
        : path_(std::move(path))
        , seen_(lastWrite())
    {
    }

    [[nodiscard]] const std::string& path() const noexcept { return path_; }

    /** @return Whether it has changed since the last call. */
    [[nodiscard]] bool changed()
    {
        const auto now = lastWrite();
        return std::exchange(seen_, now) != now;
    }

private:
    [[nodiscard]] std::filesystem::file_time_type lastWrite() const
    {
        std::error_code ignored;
        return std::filesystem::last_write_time(path_, ignored);
    }

    std::string path_;
    std::filesystem::file_time_type seen_;
};

void reload(swiftlift::router::RouterProcess& router, const std::string& file)
{
    Findings findings;
    if (const auto settings = swiftlift::settings::readRouterSettings(file, findings)) {
        router.reload(*settings);
    } else {
        router.rejectReload(findings);
    }
}

/** Waits until the process is asked to end. */
void serve(swiftlift::router::RouterProcess& router, const sigset_t& signals, WatchedFile& file)
{
    const timespec fileCheck { 2, 0 };
    for (;;) {
        const int signal = sigtimedwait(&signals, nullptr, &fileCheck);
        if (signal == SIGTERM || signal == SIGINT) {
            return;
        }
        const bool changed = file.changed();
        if (signal == SIGHUP || changed) {
            reload(router, file.path());
        }
    }
}

int run(const swiftlift::settings::RouterSettings& settings, const std::string& settingsFile)
{
    const sigset_t signals = blockSignals();
    const std::uint64_t seed = settings.seed.value_or(swiftlift::transport::drawIncarnation().value());
    swiftlift::router::RouterProcess router(settings, seed);
    if (const auto findings = router.listen(); !findings.empty()) {
        print(findings);
        return exitFailed;
    }
    router.start();
    WatchedFile file(settingsFile);
    serve(router, signals, file);
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
    return line->task == CommandLine::Task::Check ? exitFine : run(*settings, line->settingsFile);
}
