#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ctl/Publish.h"
#include "swiftlift/base/Finding.h"

namespace swiftlift::ctl {

enum class Command : std::uint8_t {
    AccountCreate,
    AccountClose,
    TopUp,
    WriteOff,
    Publish,
    Check,
    Show,
    History,
    Withdraw,
    Accounts,
    Budgets,
    Vms,
    Backends,
    Services,
    Explain,
    Status,
};

/** A command line, checked. */
struct CommandLine {
    /** Nothing: only help is asked for. */
    std::optional<Command> command;
    std::vector<std::string> arguments;
    std::string settingsFile = "/etc/swiftlift/ctl.yaml";
    bool json = false;
    bool help = false;
    std::optional<std::string> key;
    std::optional<std::string> keyFile;
    std::optional<std::string> author;
    /** Of a change that is asked for again. */
    std::optional<std::uint64_t> id;
    std::optional<ExpectedRevision> expected;
};

/**
 * @param arguments Words after the program's name.
 * @param findings Takes all that is wrong with them.
 * @return The command line; nothing when anything was found.
 */
[[nodiscard]] std::optional<CommandLine> parseCommandLine(
    const std::vector<std::string>& arguments, Findings& findings);

/** @return What the program does, and its commands. */
[[nodiscard]] std::string helpText();

/** @return How one command is used. */
[[nodiscard]] std::string helpText(Command command);

} // namespace swiftlift::ctl
