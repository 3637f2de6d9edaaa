#include "ctl/CommandLine.h"

#include <algorithm>

#include <getopt.h>

#include "ctl/Commands.h"
#include "swiftlift/base/Numbers.h"

namespace swiftlift::ctl {

namespace {

    constexpr std::string_view programName = "swiftliftctl";
    constexpr int hexadecimal = 16;
    constexpr int decimal = 10;

    enum LongOption : int {
        SettingsOption = 256,
        JsonOption,
        HelpOption,
        // The values from here on are in the order of `Option`.
        FirstCommandOption,
    };

    constexpr std::array<std::string_view, 5> commandOptionNames { "key", "key-file", "author", "id",
        "expect-revision" };

    const std::array<option, 9> longOptions { {
        { "settings", required_argument, nullptr, SettingsOption },
        { "json", no_argument, nullptr, JsonOption },
        { "help", no_argument, nullptr, HelpOption },
        { "key", required_argument, nullptr, FirstCommandOption + static_cast<int>(Option::Key) },
        { "key-file", required_argument, nullptr, FirstCommandOption + static_cast<int>(Option::KeyFile) },
        { "author", required_argument, nullptr, FirstCommandOption + static_cast<int>(Option::Author) },
        { "id", required_argument, nullptr, FirstCommandOption + static_cast<int>(Option::Id) },
        { "expect-revision", required_argument, nullptr,
            FirstCommandOption + static_cast<int>(Option::ExpectRevision) },
        { nullptr, 0, nullptr, 0 },
    } };

    [[nodiscard]] std::string optionName(Option commandOption)
    {
        return "--" + std::string(commandOptionNames[static_cast<std::size_t>(commandOption)]);
    }

    [[nodiscard]] bool hasOption(const CommandInfo& info, Option commandOption)
    {
        const auto end = info.options.begin() + static_cast<std::ptrdiff_t>(info.optionCount);
        return std::find(info.options.begin(), end, commandOption) != end;
    }

    [[nodiscard]] const CommandInfo& infoOf(Command command)
    {
        return *std::find_if(
            commands.begin(), commands.end(), [&](const CommandInfo& info) { return info.command == command; });
    }

    /** Parses one command line and collects its errors as findings. */
    class Parser {
    public:
        explicit Parser(Findings& findings)
            : findings_(findings)
        {
        }

        [[nodiscard]] CommandLine parse(const std::vector<std::string>& arguments)
        {
            readOptions(arguments);
            findCommand();
            if (!line_.help) {
                checkCommand();
            }
            return std::move(line_);
        }

    private:
        void report(std::string message)
        {
            findings_.push_back({ std::string(programName), 0, 0, std::move(message) });
        }

        void readOptions(const std::vector<std::string>& arguments)
        {
            std::vector<std::string> words { std::string(programName) };
            words.insert(words.end(), arguments.begin(), arguments.end());
            std::vector<char*> pointers;
            pointers.reserve(words.size() + 1);
            for (auto& word : words) {
                pointers.push_back(word.data());
            }
            pointers.push_back(nullptr);
            // getopt_long() keeps its position in a global variable; 0 resets it.
            optind = 0;
            const int count = static_cast<int>(words.size());
            int found = 0;
            while ((found = getopt_long(count, pointers.data(), ":", longOptions.data(), nullptr)) != -1) {
                storeOption(found, pointers[static_cast<std::size_t>(optind - 1)]);
            }
            for (auto index = static_cast<std::size_t>(optind); index < words.size(); ++index) {
                words_.emplace_back(pointers[index]);
            }
        }

        void storeOption(int found, const std::string& word)
        {
            if (found == '?') {
                report("unknown or ambiguous option " + word);
            } else if (found == ':') {
                report("option " + word + " needs a value");
            } else if (found == SettingsOption) {
                line_.settingsFile = optarg;
            } else if (found == JsonOption) {
                line_.json = true;
            } else if (found == HelpOption) {
                line_.help = true;
            } else {
                storeCommandOption(static_cast<Option>(found - FirstCommandOption), optarg);
            }
        }

        void storeCommandOption(Option commandOption, const std::string& value)
        {
            commandOptions_.push_back(commandOption);
            switch (commandOption) {
            case Option::Key:
                line_.key = value;
                break;
            case Option::KeyFile:
                line_.keyFile = value;
                break;
            case Option::Author:
                line_.author = value;
                break;
            case Option::Id:
                storeId(value);
                break;
            case Option::ExpectRevision:
                storeRevision(value);
                break;
            }
        }

        void storeId(const std::string& value)
        {
            line_.id = parseWhole<std::uint64_t>(value, hexadecimal);
            if (line_.id.value_or(0) == 0) {
                report("--id: expected an id of up to 16 hexadecimal digits, found \"" + value + '"');
            }
        }

        void storeRevision(const std::string& value)
        {
            const auto number = parseWhole<std::uint64_t>(value, decimal);
            if (!number && value != "new") {
                report("--expect-revision: expected a revision or `new`, found \"" + value + '"');
            }
            line_.expected = ExpectedRevision { number ? std::optional(Offset(*number)) : std::nullopt };
        }

        void findCommand()
        {
            if (words_.empty()) {
                if (!line_.help) {
                    report("no command; see --help");
                }
                return;
            }
            for (const auto& info : commands) {
                const auto wordCount
                    = static_cast<std::size_t>(std::count(info.words.begin(), info.words.end(), ' ')) + 1;
                if (words_.size() >= wordCount && joined(wordCount) == info.words) {
                    line_.command = info.command;
                    line_.arguments.assign(words_.begin() + static_cast<std::ptrdiff_t>(wordCount), words_.end());
                    return;
                }
            }
            report("unknown command " + words_.front() + "; see --help");
        }

        [[nodiscard]] std::string joined(std::size_t count) const
        {
            std::string text = words_.front();
            for (std::size_t index = 1; index < count; ++index) {
                text += ' ' + words_[index];
            }
            return text;
        }

        void checkCommand()
        {
            if (!line_.command) {
                return;
            }
            const auto& info = infoOf(*line_.command);
            const auto count = line_.arguments.size();
            if (count < info.minArguments || count > info.maxArguments) {
                report("usage: " + std::string(info.words) + ' ' + std::string(info.parameters));
            }
            for (const auto commandOption : commandOptions_) {
                if (!hasOption(info, commandOption)) {
                    report(std::string(info.words) + " has no option " + optionName(commandOption));
                }
            }
            if (info.command == Command::AccountCreate && line_.key.has_value() == line_.keyFile.has_value()) {
                report("account create needs either --key or --key-file");
            }
        }

        Findings& findings_;
        CommandLine line_;
        std::vector<std::string> words_;
        std::vector<Option> commandOptions_;
    };

    constexpr std::string_view commonHelp = "Options of every command:\n"
                                            "  --settings FILE  settings (default /etc/swiftlift/ctl.yaml)\n"
                                            "  --json           JSON in place of text\n"
                                            "  --help           help on the command\n"
                                            "Exit codes: 0 done; 1 refused, or no such thing; 2 wrong usage, settings "
                                            "or document; 3 platform\nor routers unreachable, or outcome unknown.\n";

} // namespace

std::optional<CommandLine> parseCommandLine(const std::vector<std::string>& arguments, Findings& findings)
{
    const auto before = findings.size();
    auto line = Parser(findings).parse(arguments);
    return findings.size() > before ? std::nullopt : std::optional(std::move(line));
}

std::string helpText()
{
    std::string text = "Usage: swiftliftctl COMMAND [ARGUMENTS] [OPTIONS]\n\nCommands:\n";
    std::size_t width = 0;
    for (const auto& info : commands) {
        width = std::max(width, info.words.size() + 1 + info.parameters.size());
    }
    for (const auto& info : commands) {
        auto usage = std::string(info.words) + ' ' + std::string(info.parameters);
        usage.resize(width, ' ');
        text += "  " + usage + "  " + std::string(info.summary) + '\n';
    }
    return text + '\n' + std::string(commonHelp);
}

std::string helpText(Command command)
{
    const auto& info = infoOf(command);
    auto text = "Usage: swiftliftctl " + std::string(info.words) + ' ' + std::string(info.parameters);
    for (std::size_t index = 0; index < info.optionCount; ++index) {
        text += info.options[index] == Option::Key ? "" : " [" + optionName(info.options[index]) + " ...]";
    }
    text += "\n\n" + std::string(info.summary) + "\n\n" + std::string(info.details) + '\n';
    return text + (info.details.empty() ? "" : "\n") + std::string(commonHelp);
}

} // namespace swiftlift::ctl
