#include "ctl/CommandLine.h"

#include <gmock/gmock.h>

#include "ctl/Commands.h"

namespace swiftlift::ctl {

namespace {

    using testing::ElementsAre;
    using testing::HasSubstr;

    std::vector<std::string> findingsOf(const std::vector<std::string>& arguments)
    {
        Findings findings;
        EXPECT_FALSE(parseCommandLine(arguments, findings).has_value());
        std::vector<std::string> messages;
        for (const auto& finding : findings) {
            messages.push_back(finding.message);
        }
        return messages;
    }

} // namespace

TEST(CommandLine, ReadsCommandsWithTheirOptionsInAnyOrder)
{
    Findings findings;
    const auto line = parseCommandLine(
        { "--json", "publish", "--expect-revision=new", "desk.yaml", "--id", "ab", "--author", "mina" }, findings);
    ASSERT_TRUE(line.has_value());
    EXPECT_EQ(line->command, Command::Publish);
    EXPECT_THAT(line->arguments, ElementsAre("desk.yaml"));
    EXPECT_TRUE(line->json);
    EXPECT_EQ(line->id, 0xABU);
    EXPECT_EQ(line->author, "mina");
    EXPECT_EQ(line->expected, ExpectedRevision {});
    const auto close = parseCommandLine({ "account", "close", "club", "--expect-revision", "4" }, findings);
    ASSERT_TRUE(close.has_value());
    EXPECT_EQ(close->command, Command::AccountClose);
    EXPECT_EQ(close->expected, (ExpectedRevision { Offset(4) }));
}

TEST(CommandLine, ReportsEverythingThatIsWrong)
{
    EXPECT_THAT(findingsOf({ "top-up", "club", "desk", "--key", "k", "--id", "0", "--colour" }),
        ElementsAre("--id: expected an id of up to 16 hexadecimal digits, found \"0\"",
            "unknown or ambiguous option --colour", "usage: top-up ACCOUNT BUDGET TOKENS",
            "top-up has no option --key"));
    EXPECT_THAT(findingsOf({}), ElementsAre("no command; see --help"));
    EXPECT_THAT(findingsOf({ "account" }), ElementsAre("unknown command account; see --help"));
    EXPECT_THAT(
        findingsOf({ "account", "create", "club" }), ElementsAre("account create needs either --key or --key-file"));
    EXPECT_THAT(findingsOf({ "show", "desk", "--settings" }), ElementsAre("option --settings needs a value"));
    EXPECT_THAT(findingsOf({ "publish", "f", "--expect-revision", "-1" }),
        ElementsAre("--expect-revision: expected a revision or `new`, found \"-1\""));
}

TEST(CommandLine, HasHelpForEveryCommand)
{
    for (const auto& info : commands) {
        EXPECT_THAT(helpText(), HasSubstr(std::string(info.summary)));
        EXPECT_THAT(helpText(info.command), HasSubstr("Usage: swiftliftctl " + std::string(info.words)));
    }
    Findings findings;
    const auto line = parseCommandLine({ "top-up", "--help" }, findings);
    ASSERT_TRUE(line.has_value());
    EXPECT_TRUE(line->help);
    EXPECT_EQ(line->command, Command::TopUp);
}

} // namespace swiftlift::ctl
