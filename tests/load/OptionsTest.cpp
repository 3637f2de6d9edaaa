#include "load/Options.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace swiftlift::load {
namespace {

    [[nodiscard]] Options parse(std::vector<std::string> words, Findings& findings)
    {
        words.insert(words.begin(), "swiftlift-load");
        std::vector<char*> arguments;
        for (auto& word : words) {
            arguments.push_back(word.data());
        }
        arguments.push_back(nullptr);
        return parseOptions(static_cast<int>(words.size()), arguments.data(), findings);
    }

    TEST(Options, ParsesAllGivenOptions)
    {
        Findings findings;
        const Options options = parse({ "--router", "127.0.1.1:8000", "--router", "127.0.1.2:8000", "--direct",
                                          "127.0.2.1:9000", "--service", "plans", "--account", "club", "--key",
                                          "secret", "--rate", "2.5", "--prompt-tokens", "10-90", "--stream", "off" },
            findings);
        EXPECT_TRUE(findings.empty());
        EXPECT_EQ(options.routers.size(), 2U);
        EXPECT_EQ(options.engines.front(), (Target { "127.0.2.1", 9000 }));
        EXPECT_EQ(options.accounts.front(), (Account { "club", "secret" }));
        EXPECT_DOUBLE_EQ(options.rate, 2.5);
        EXPECT_EQ(options.minPromptTokens, 10U);
        EXPECT_EQ(options.maxPromptTokens, 90U);
        EXPECT_FALSE(options.stream);
    }

    TEST(Options, ReportsEveryInvalidOption)
    {
        Findings findings;
        (void)parse({ "--router", "nowhere", "--rate", "0", "--stream", "perhaps", "--seed", "-1" }, findings);
        // One finding per option, and one for the missing target.
        EXPECT_EQ(findings.size(), 5U);
    }

    TEST(Options, RequiresATarget)
    {
        Findings findings;
        (void)parse({ "--rate", "3" }, findings);
        ASSERT_EQ(findings.size(), 1U);
        EXPECT_EQ(findings.front().source, "--router");
    }

} // namespace
} // namespace swiftlift::load
