#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "Clock.h"

namespace swiftlift::scenario {

/**
 * @brief A child process of the runner, ended with this object.
 *
 * Start it from the main thread only: the kernel ends a child when the thread that made it ends.
 */
class Process {
public:
    /**
     * @param name Name within the scenario.
     * @param command Program with its arguments.
     * @param output File that takes standard output and standard error.
     */
    Process(std::string name, std::vector<std::string> command, std::filesystem::path output);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /** Starts a new life; throws when the program cannot be run. */
    void start();

    /** @return Whether the process has been started and has not ended. */
    [[nodiscard]] bool running();

    /** @param number Signal to send; nothing happens when the process has ended. */
    void signal(int number);

    /** @return The exit status, 128 + signal when a signal ended it; nothing when the bound was reached. */
    [[nodiscard]] std::optional<int> waitForExit(Milliseconds bound);

    /** Sends SIGKILL and waits for the end. */
    void kill();

    /** @return Whether this life has printed a line that starts with `text`; false when it ended or the bound passed.
     */
    [[nodiscard]] bool waitForLine(const std::string& text, Milliseconds bound);

    /** @return What this life has printed so far. */
    [[nodiscard]] std::string printed() const;

    [[nodiscard]] const std::string& name() const noexcept { return name_; }
    [[nodiscard]] const std::filesystem::path& output() const noexcept { return output_; }
    [[nodiscard]] pid_t pid() const noexcept { return pid_; }

private:
    /** Takes the exit status if there is one. @return Whether the process has ended, or was never started. */
    bool reap(int options);

    std::string name_;
    std::vector<std::string> command_;
    std::filesystem::path output_;
    std::uintmax_t printedBefore_ = 0;
    pid_t pid_ = 0;
    std::optional<int> exitStatus_;
};

/**
 * Sends SIGKILL to every process that runs and waits for their ends. For a runner that is told to end: no process is
 * started, or looked at, afterwards.
 */
void endAllProcesses();

/** @return The last `count` lines of a file. */
[[nodiscard]] std::vector<std::string> lastLines(const std::filesystem::path& file, std::size_t count);

} // namespace swiftlift::scenario
