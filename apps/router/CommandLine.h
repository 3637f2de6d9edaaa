#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace swiftlift::router {

/** The parsed command line of `swiftlift-router`. */
struct CommandLine {
    enum class Task : std::uint8_t { Run, Check, Help, Version };

    Task task = Task::Run;
    /** Path of the YAML settings file; may be empty for Task::Help and Task::Version. */
    std::string settingsFile;
};

/**
 * @brief Parses the program's arguments.
 * @return The parsed command line; `std::nullopt` if the arguments are invalid. The error is then already printed to
 * standard error.
 */
[[nodiscard]] std::optional<CommandLine> parseCommandLine(int argc, char** argv);

/** @return The text of `--help`. */
[[nodiscard]] const char* helpText() noexcept;

} // namespace swiftlift::router
