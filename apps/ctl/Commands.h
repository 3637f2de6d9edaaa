#pragma once

#include <array>
#include <cstddef>
#include <string_view>

#include "ctl/CommandLine.h"

namespace swiftlift::ctl {

/** Options that are specific to some commands. */
enum class Option : std::uint8_t { Key, KeyFile, Author, Id, ExpectRevision };

/** Name, arguments, options and help of one command. */
struct CommandInfo {
    Command command;
    std::string_view words;
    std::string_view parameters;
    std::size_t minArguments;
    std::size_t maxArguments;
    std::string_view summary;
    std::string_view details;
    /** Options of the command: the first `optionCount` elements. */
    std::array<Option, 3> options;
    std::size_t optionCount;
};

inline constexpr std::array<CommandInfo, 16> commands { {
    { Command::AccountCreate, "account create", "NAME --key KEY", 1, 1, "create a client account",
        "The log keeps only a hash of the key. --key-file FILE reads the key from a file's first line, `-` from "
        "standard\n"
        "input, so that it is not seen in the list of processes. An account has no money until its first top-up.",
        { Option::Key, Option::KeyFile, Option::Id }, 3 },
    { Command::AccountClose, "account close", "NAME", 1, 1, "close a client account for good",
        "Requests of the account are refused from then on. With --expect-revision N the account is closed only if "
        "nobody\n"
        "has changed it since revision N (see `accounts`); without, since the command read it.",
        { Option::ExpectRevision, Option::Id }, 2 },
    { Command::TopUp, "top-up", "ACCOUNT BUDGET TOKENS", 3, 3, "add prepaid tokens to a budget",
        "The first top-up creates the budget. If the outcome is unknown (exit code 3), run the command again with the "
        "--id\n"
        "that it printed: the tokens are then added once at most.",
        { Option::Id }, 1 },
    { Command::WriteOff, "write-off", "ACCOUNT HOLDER GRANT", 3, 3, "free what a lost router's grant has not billed",
        "Only for a grant whose VM is gone for good: one without a witness, or whose witness died too (see "
        "`budgets`).\n"
        "A holder that still lives stops at once, and answers it gives from that grant end as unknown.",
        { Option::Id }, 1 },
    { Command::Publish, "publish", "FILE", 1, 1, "publish a service's document",
        "Checks the document and puts it in force everywhere. The publish names the revision it replaces: with\n"
        "--expect-revision N that one (`new` for a service that never was), else the one in force when the command "
        "reads\n"
        "it. If another operator came first, nothing changes, and you are told who and which lines differ.",
        { Option::ExpectRevision, Option::Author, Option::Id }, 3 },
    { Command::Check, "check", "FILE", 1, 1, "check a service's document",
        "Prints all findings with line and column. Needs no platform and no settings.", {}, 0 },
    { Command::Show, "show", "SERVICE", 1, 1, "print a service's document in force",
        "The first line, a comment, names the revision and its author.", {}, 0 },
    { Command::History, "history", "SERVICE", 1, 1, "list a service's revisions",
        "Oldest first, at most as many as the log's readers keep.", {}, 0 },
    { Command::Withdraw, "withdraw", "SERVICE", 1, 1, "take a service out of force",
        "As a publish of nothing; the same rules decide between operators.",
        { Option::ExpectRevision, Option::Author, Option::Id }, 3 },
    { Command::Accounts, "accounts", "", 0, 0, "list the client accounts", "Read from the platform's log.", {}, 0 },
    { Command::Budgets, "budgets", "[ACCOUNT]", 0, 1, "list budgets and who holds them",
        "BOUGHT: all top-ups. BILLED: what requests cost. HELD: bills and what routers hold in grants. FREE: BOUGHT "
        "less\n"
        "HELD. Read from the platform's log; below it, what the reachable routers say they hold now.",
        {}, 0 },
    { Command::Vms, "vms", "", 0, 0, "list the VMs as the routers see them",
        "Routers that are cut off from each other see different VMs; each row names the routers that see it.", {}, 0 },
    { Command::Backends, "backends", "", 0, 0, "list the backend servers as the routers see them",
        "Load reports lag; each row names the routers that see it so.", {}, 0 },
    { Command::Services, "services", "", 0, 0, "list the services in force", "Read from the platform's log.", {}, 0 },
    { Command::Explain, "explain", "REQUEST", 1, 1, "tell what was decided about a request, and why",
        "Asks all routers of the settings; each remembers its last decisions by the caller's request id.", {}, 0 },
    { Command::Status, "status", "", 0, 0, "print what each router says of itself", "", {}, 0 },
} };

} // namespace swiftlift::ctl
