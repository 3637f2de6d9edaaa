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

/** A parsed and checked command line. */
struct CommandLine {
    /** The command; `std::nullopt` if only the general help is requested. */
    std::optional<Command> command;
    std::vector<std::string> arguments;
    std::string settingsFile = "/etc/swiftlift/ctl.yaml";
    bool json = false;
    bool help = false;
    std::optional<std::string> key;
    std::optional<std::string> keyFile;
    std::optional<std::string> author;
    /** Id of an earlier run of the same change, which this command repeats. */
    std::optional<std::uint64_t> id;
    std::optional<ExpectedRevision> expected;
};

/**
 * @param arguments Words after the program's name.
 * @param findings Receives one finding for each error in the arguments.
 * @return The command line; `std::nullopt` if the arguments have errors.
 */
[[nodiscard]] std::optional<CommandLine> parseCommandLine(
    const std::vector<std::string>& arguments, Findings& findings);

/** @return The general help: the list of commands and the common options. */
[[nodiscard]] std::string helpText();

/** @return The help of one command. */
[[nodiscard]] std::string helpText(Command command);

} // namespace swiftlift::ctl
