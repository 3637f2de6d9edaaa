#include "ctl/Run.h"

#include <fstream>
#include <iostream>
#include <limits>
#include <sstream>

#include "ctl/HttpLog.h"
#include "ctl/LedgerChange.h"
#include "ctl/PollTimer.h"
#include "ctl/Publish.h"
#include "ctl/Routers.h"
#include "ctl/Views.h"
#include "swiftlift/base/Numbers.h"
#include "swiftlift/settings/Names.h"
#include "swiftlift/settings/ServiceDocument.h"
#include "swiftlift/transport/DecisionLoop.h"
#include "swiftlift/transport/Hashing.h"

namespace swiftlift::ctl {

namespace {

    [[nodiscard]] Report usageFailure(const std::string& reason)
    {
        return failure(ExitCode::Usage, "findings", "swiftliftctl: " + reason);
    }

    [[nodiscard]] std::optional<std::string> readText(std::istream& stream)
    {
        // Reads one byte more than a document may have, so that the check of its size refuses a longer document.
        std::string text(settings::maxDocumentBytes + 1, '\0');
        stream.read(text.data(), static_cast<std::streamsize>(text.size()));
        if (stream.bad() || (stream.fail() && !stream.eof())) {
            return std::nullopt;
        }
        text.resize(static_cast<std::size_t>(stream.gcount()));
        return text;
    }

    [[nodiscard]] std::optional<std::string> readFile(const std::string& file)
    {
        if (file == "-") {
            return readText(std::cin);
        }
        std::ifstream stream(file, std::ios::binary);
        return stream ? readText(stream) : std::nullopt;
    }

    [[nodiscard]] std::optional<Tokens> parseTokens(const std::string& text)
    {
        const auto value = parseWhole<std::int64_t>(text);
        return value && *value > 0 ? std::optional(Tokens(*value)) : std::nullopt;
    }

    /** Runs one command with the log, the routers and the settings that it needs. */
    class Runner {
    public:
        Runner(const CommandLine& line, const settings::CtlSettings& settings)
            : line_(line)
            , settings_(settings)
            , log_(settings.logEndpoints, settings.logTimeout)
            , pollTimer_(settings.logPatience)
            , routers_(settings.routers, settings.routerTimeout)
            , context_ { log_, pollTimer_, line.id.value_or(transport::drawIncarnation().value()) }
        {
        }

        [[nodiscard]] Report run()
        {
            switch (*line_.command) {
            case Command::AccountCreate:
                return runAccountCreate();
            case Command::AccountClose:
                return runAccountClose();
            case Command::TopUp:
                return runTopUp();
            case Command::WriteOff:
                return runWriteOff();
            case Command::Publish:
                return runPublish();
            case Command::Withdraw:
                return withdraw(context_, order(), ServiceName(line_.arguments.front()));
            default:
                return runView();
            }
        }

    private:
        [[nodiscard]] Report runView()
        {
            switch (*line_.command) {
            case Command::Show:
                return showService(log_, ServiceName(line_.arguments.front()));
            case Command::History:
                return serviceHistory(log_, ServiceName(line_.arguments.front()));
            case Command::Accounts:
                return listAccounts(log_, settings_.ledgerShards);
            case Command::Budgets:
                return runBudgets();
            case Command::Vms:
                return routerViews(routers_, "vms");
            case Command::Backends:
                return routerViews(routers_, "backends");
            case Command::Services:
                return listServices(log_);
            case Command::Explain:
                return explainRequest(routers_, line_.arguments.front());
            case Command::Status:
                return routerStatus(routers_);
            default:
                return usageFailure("no such command");
            }
        }

        [[nodiscard]] Report runAccountCreate()
        {
            const auto key = accountKey();
            if (!key || key->empty()) {
                return usageFailure("the key is empty, or its file cannot be read");
            }
            const auto& name = line_.arguments.front();
            if (!settings::isName(name)) {
                return invalidName(name);
            }
            return createAccount(context_, settings_.ledgerShards, AccountId(name), transport::keyHash(*key));
        }

        [[nodiscard]] std::optional<std::string> accountKey() const
        {
            if (line_.key) {
                return line_.key;
            }
            const auto text = readFile(*line_.keyFile);
            return text ? std::optional(text->substr(0, text->find_first_of("\r\n"))) : std::nullopt;
        }

        [[nodiscard]] Report runAccountClose()
        {
            const AccountId account(line_.arguments.front());
            if (line_.expected && !line_.expected->revision) {
                return usageFailure("--expect-revision of an account is a number");
            }
            const auto expected = line_.expected ? line_.expected->revision : std::nullopt;
            return closeAccount(context_, settings_.ledgerShards, account, expected);
        }

        [[nodiscard]] Report runTopUp()
        {
            const auto tokens = parseTokens(line_.arguments[2]);
            if (!tokens) {
                return usageFailure("TOKENS has to be a whole number above 0, found \"" + line_.arguments[2] + '"');
            }
            for (const auto& name : { line_.arguments[0], line_.arguments[1] }) {
                if (!settings::isName(name)) {
                    return invalidName(name);
                }
            }
            const BudgetRef budget { AccountId(line_.arguments[0]), BudgetId(line_.arguments[1]) };
            return topUp(context_, settings_.ledgerShards, budget, *tokens);
        }

        [[nodiscard]] Report runWriteOff()
        {
            constexpr int hexadecimal = 16;
            const auto holder = parseWhole<std::uint64_t>(line_.arguments[1], hexadecimal);
            const auto number = parseWhole<std::uint32_t>(line_.arguments[2]);
            if (!holder || !number) {
                return usageFailure("HOLDER and GRANT have to be as `budgets` shows them");
            }
            const GrantId grant { Incarnation(*holder), *number };
            return writeOff(context_, settings_.ledgerShards, AccountId(line_.arguments[0]), grant);
        }

        [[nodiscard]] Report runPublish()
        {
            const auto& file = line_.arguments.front();
            const auto text = readFile(file);
            return text ? publish(context_, order(), *text, file) : usageFailure(file + " cannot be read");
        }

        [[nodiscard]] Report runBudgets()
        {
            const auto account
                = line_.arguments.empty() ? std::nullopt : std::optional(AccountId(line_.arguments.front()));
            auto report = listBudgets(log_, settings_.ledgerShards, account, vmNames(routers_));
            if (report.code == ExitCode::Ok && !settings_.routers.empty()) {
                addHoldings(routers_, account, report);
            }
            return report;
        }

        [[nodiscard]] PublishOrder order() const { return { line_.author.value_or(settings_.author), line_.expected }; }

        [[nodiscard]] static Report invalidName(const std::string& name)
        {
            return usageFailure('"' + name
                + "\" is no valid name: 1 to 64 letters, digits, dots, dashes and underscores, a letter or digit "
                  "first");
        }

        const CommandLine& line_;
        const settings::CtlSettings& settings_;
        HttpLog log_;
        BackoffPollTimer pollTimer_;
        HttpRouters routers_;
        ChangeContext context_;
    };

} // namespace

Report run(const CommandLine& line)
{
    if (line.help || !line.command) {
        const auto text = line.command ? helpText(*line.command) : helpText();
        return { ExitCode::Ok, text, { { "help", text } } };
    }
    if (*line.command == Command::Check) {
        const auto text = readFile(line.arguments.front());
        return text ? checkDocument(*text, line.arguments.front())
                    : usageFailure(line.arguments.front() + " cannot be read");
    }
    Findings findings;
    const auto settings = settings::readCtlSettings(line.settingsFile, findings);
    if (!settings) {
        return findingsReport(findings);
    }
    return Runner(line, *settings).run();
}

} // namespace swiftlift::ctl
