#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace swiftlift::router {

struct CommandLine {
    enum class Task : std::uint8_t { Run, Check, Help, Version };

    Task task = Task::Run;
    std::string settingsFile;
};

/** @return What is asked for; nothing when the arguments are wrong, after having said so on standard error. */
[[nodiscard]] std::optional<CommandLine> parseCommandLine(int argc, char** argv);

/** @return The text of `--help`. */
[[nodiscard]] const char* helpText() noexcept;

} // namespace swiftlift::router
