#include <csignal>
#include <ctime>
#include <filesystem>
#include <iostream>
#include <string>
#include <system_error>
#include <utility>

#include <malloc.h>

#include "CommandLine.h"
#include "RouterProcess.h"

namespace {

using swiftlift::Findings;
using swiftlift::router::CommandLine;

constexpr int exitSuccess = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
constexpr const char* version = "0.1.0";

void print(const Findings& findings)
{
    for (const auto& finding : findings) {
        std::cerr << swiftlift::toText(finding) << "\n";
    }
}

/**
 * @brief Blocks SIGTERM, SIGINT and SIGHUP, and ignores SIGPIPE.
 *
 * Called before any other thread is started, so that all threads inherit the mask and only the main thread receives the
 * signals, by sigtimedwait(). The default action of an unblocked signal, such as the SIGHUP that announces changed
 * settings, would end the process and all its streams.
 *
 * @return The blocked signals.
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

/** Detects changes of a file by its modification time, so that the writer of the file need not send a signal. */
class WatchedFile {
public:
    explicit WatchedFile(std::string path)
        : path_(std::move(path))
        , lastSeenWrite_(lastWrite())
    {
    }

    [[nodiscard]] const std::string& path() const noexcept { return path_; }

    /** @return Whether the file was modified since the last call, or since construction. */
    [[nodiscard]] bool takeChanged()
    {
        const auto now = lastWrite();
        return std::exchange(lastSeenWrite_, now) != now;
    }

private:
    [[nodiscard]] std::filesystem::file_time_type lastWrite() const
    {
        std::error_code ignored;
        return std::filesystem::last_write_time(path_, ignored);
    }

    std::string path_;
    std::filesystem::file_time_type lastSeenWrite_;
};

/** Applies the settings in the file to the running router; settings in force stay if the file is invalid. */
void reload(swiftlift::router::RouterProcess& router, const std::string& file)
{
    Findings findings;
    if (const auto settings = swiftlift::settings::readRouterSettings(file, findings)) {
        router.reload(*settings);
    } else {
        router.rejectReload(findings);
    }
}

/** Reloads changed settings until SIGTERM or SIGINT arrives. */
void runUntilStopSignal(swiftlift::router::RouterProcess& router, const sigset_t& signals, WatchedFile& file)
{
    const timespec fileCheckInterval { 2, 0 };
    for (;;) {
        const int signal = sigtimedwait(&signals, nullptr, &fileCheckInterval);
        if (signal == SIGTERM || signal == SIGINT) {
            return;
        }
        const bool changed = file.takeChanged();
        if (signal == SIGHUP || changed) {
            reload(router, file.path());
        }
    }
}

/**
 * Gives each large block back to the operating system as soon as it is freed. By default the C library raises the
 * threshold to the largest block that was freed, and the memory of one burst of large answers stays with the process.
 */
void returnLargeBlocks()
{
    constexpr int largeBlockBytes = 256 * 1024;
    constexpr int keptBytes = 1024 * 1024;
    ::mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    ::mallopt(M_TRIM_THRESHOLD, keptBytes);
}

/** @return Exit status of the process. */
int run(const swiftlift::settings::RouterSettings& settings, const std::string& settingsFile)
{
    returnLargeBlocks();
    const sigset_t signals = blockSignals();
    const std::uint64_t seed = settings.seed.value_or(swiftlift::transport::drawIncarnation().value());
    swiftlift::router::RouterProcess router(settings, seed);
    if (const auto findings = router.listen(); !findings.empty()) {
        print(findings);
        return exitFailure;
    }
    router.start();
    WatchedFile file(settingsFile);
    runUntilStopSignal(router, signals, file);
    router.stop();
    return exitSuccess;
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
        return exitSuccess;
    }
    if (line->task == CommandLine::Task::Version) {
        std::cout << "swiftlift-router " << version << "\n";
        return exitSuccess;
    }
    Findings findings;
    const auto settings = swiftlift::settings::readRouterSettings(line->settingsFile, findings);
    if (!settings) {
        print(findings);
        return exitUsage;
    }
    if (line->task == CommandLine::Task::Check) {
        print(settings->unusable);
        return exitSuccess;
    }
    return run(*settings, line->settingsFile);
}
