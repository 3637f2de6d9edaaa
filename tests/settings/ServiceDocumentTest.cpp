#include "swiftlift/settings/ServiceDocument.h"

#include <random>
#include <sstream>

#include <gmock/gmock.h>

#include "settings/Samples.h"

namespace swiftlift::settings {

namespace {

    using test::modelDocument;
    using test::plainDocument;
    using test::replaced;
    using test::texts;
    using testing::ElementsAre;
    using testing::HasSubstr;
    using testing::StartsWith;

    std::vector<std::string> findingsOf(std::string_view text)
    {
        Findings findings;
        const auto document = parseServiceDocument(text, "doc", findings);
        EXPECT_EQ(document.has_value(), findings.empty());
        return texts(findings);
    }

    /** @return The document as YAML text with all keys of its kind, including those at their defaults. */
    std::string toYaml(const ServiceDocument& document)
    {
        std::ostringstream out;
        const bool isModel = document.kind == BackendKind::Model;
        out << "service: " << document.service << "\nkind: " << toText(document.kind);
        out << (isModel ? "\nmodel: " + document.model : "") << "\nweighting: " << toText(document.weighting);
        out << "\naccounts:\n";
        for (const auto& use : document.accounts) {
            out << "- account: " << use.account << "\n  budget: " << use.budget << "\n  weight: " << use.weight << '\n';
        }
        const auto& limits = document.limits;
        out << "limits:\n  max_body: " << limits.maxBodyBytes << "B\n";
        if (isModel) {
            out << "  max_prompt_tokens: " << limits.maxPromptTokens
                << "\n  max_answer_tokens: " << limits.maxAnswerTokens << '\n';
        } else {
            out << "  call_cost: " << limits.callCost << '\n';
        }
        out << "  deadline: " << limits.deadline.count() << "us\n  silence: " << limits.silence.count()
            << "us\n  max_waiting: " << limits.maxWaiting << '\n';
        out << "retry:\n  attempts: " << document.retry.attempts << "\n  budget: " << document.retry.budgetPercent
            << "%\nbackends:\n";
        for (const auto& backend : document.backends) {
            out << "- {address: " << backend.address << ", domain: " << backend.domain << "}\n";
        }
        return out.str();
    }

} // namespace

TEST(ServiceDocument, ReadsEveryKey)
{
    Findings findings;
    const auto document = parseServiceDocument(modelDocument, "doc", findings);
    ASSERT_TRUE(document.has_value()) << testing::PrintToString(texts(findings));
    EXPECT_EQ(document->service, ServiceName("stitch-plans"));
    EXPECT_EQ(document->kind, BackendKind::Model);
    EXPECT_EQ(document->model, "punch-7b");
    EXPECT_EQ(document->weighting, Weighting::Refusals);
    EXPECT_THAT(document->accounts,
        ElementsAre(AccountUse { AccountId("regina-curling"), BudgetId("digitising"), 3 },
            AccountUse { AccountId("coop-davin"), BudgetId("main"), 1 }));
    const Limits limits { 65'536, Tokens(4096), Tokens(2048), Tokens(), std::chrono::seconds(30),
        std::chrono::milliseconds(2500), 128 };
    EXPECT_EQ(document->limits, limits);
    EXPECT_EQ(document->retry, (Retry { 2, 20 }));
    EXPECT_THAT(document->backends,
        ElementsAre(Backend { BackendId("127.0.11.1:8100"), FailureDomain("regina-a") },
            Backend { BackendId("127.0.11.2:8100"), FailureDomain("regina-b") }));
}

TEST(ServiceDocument, RoundTripPreservesTheDocument)
{
    for (const auto text : { modelDocument, plainDocument }) {
        Findings findings;
        const auto document = parseServiceDocument(text, "doc", findings);
        ASSERT_TRUE(document.has_value());
        const auto reparsed = parseServiceDocument(toYaml(*document), "doc", findings);
        EXPECT_EQ(document, reparsed) << testing::PrintToString(texts(findings));
    }
}

/** One change of `modelDocument` and the start of the single finding that it causes. */
struct FindingCase {
    std::string name;
    std::string from;
    std::string to;
    std::string finding;
};

class OneFinding : public testing::TestWithParam<FindingCase> { };

TEST_P(OneFinding, NamesItsPosition)
{
    const auto& [name, from, to, finding] = GetParam();
    EXPECT_THAT(findingsOf(replaced(modelDocument, from, to)), ElementsAre(StartsWith(finding)));
}

INSTANTIATE_TEST_SUITE_P(Kinds, OneFinding,
    testing::Values(FindingCase { "UnknownKey",
                        "silence:", "silense:", "15:3: limits: unknown key \"silense\"; known here: max_body" },
        FindingCase { "MissingKey", "model: punch-7b\n", "", "1:1: missing key \"model\"" },
        FindingCase { "NoValue", "model: punch-7b", "model:", "3:1: model: has no value" },
        FindingCase { "RepeatedKey", "max_waiting: 128", "max_body: 1KiB",
            "16:3: limits: the key \"max_body\" stands here twice" },
        FindingCase { "WrongType", "attempts: 2", "attempts: [2]",
            "18:13: retry.attempts: expected a single value, found a list" },
        FindingCase { "NoNumber", "weight: 3", "weight: 3.5", "8:13: accounts[0].weight: expected a whole number" },
        FindingCase { "QuotedNumber", "weight: 3", "weight: \"3\"",
            "8:13: accounts[0].weight: expected a number, found the text" },
        FindingCase { "NoUnit", "deadline: 30s", "deadline: 30",
            "14:13: limits.deadline: expected a duration such as 30s or 250ms, found \"30\"" },
        FindingCase { "WrongUnit", "max_body: 64KiB", "max_body: 64s", "11:13: limits.max_body: expected a size" },
        FindingCase { "NoPercent", "budget: 20%", "budget: 20", "19:11: retry.budget: expected a share such as 10%" },
        FindingCase {
            "OutOfRange", "deadline: 30s", "deadline: 2h", "14:13: limits.deadline: 2h is not within 100ms to 1h" },
        FindingCase { "Overflow", "deadline: 30s", "deadline: 99999999999999999h",
            "14:13: limits.deadline: expected a duration" },
        FindingCase { "SilenceAfterDeadline", "2500ms", "31s",
            "15:12: limits.silence: silence has to be no longer than deadline" },
        FindingCase { "BadName", "service: stitch-plans", "service: stitch plans", "1:10: service: expected a name" },
        FindingCase {
            "BadChoice", "kind: model", "kind: engine", "2:7: kind: expected one of model, plain, found \"engine\"" },
        FindingCase {
            "HostName", "127.0.11.2:8100", "engine-2:8100", "22:15: backends[1].address: expected an address" },
        FindingCase { "NoPort", "127.0.11.2:8100", "127.0.11.2", "22:15: backends[1].address: expected an address" },
        FindingCase {
            "PortTooHigh", "127.0.11.2:8100", "127.0.11.2:65536", "22:15: backends[1].address: expected an address" },
        FindingCase { "BackendTwice", "127.0.11.2:8100", "127.0.11.1:8100",
            "22:15: backends[1].address: \"127.0.11.1:8100\" stands in backends[0] too" },
        FindingCase { "AccountTwice", "coop-davin", "regina-curling",
            "9:15: accounts[1].account: \"regina-curling\" stands in accounts[0] too" },
        FindingCase { "NoMap", "{account: coop-davin, budget: main}", "coop-davin",
            "9:5: accounts[1]: expected a map, found \"coop-davin\"" },
        FindingCase { "CallCostOfModel", "max_waiting: 128", "call_cost: 5",
            "16:14: limits.call_cost: a model service is billed by its tokens" },
        FindingCase { "Tag", "model: punch-7b", "model: !!str punch-7b", "3:8: tags are not allowed" },
        FindingCase { "Anchor", "model: punch-7b", "model: &name punch-7b", "3:8: anchors are not allowed" },
        FindingCase { "SecondDocument", "retry:", "---\nretry:", "0:0: only one document is allowed in a file" },
        FindingCase { "ControlCharacter", "punch-7b", "punch\x01", "3:13: not UTF-8 text" },
        FindingCase { "BrokenUtf8", "punch-7b", "\xC3\x28", "3:8: not UTF-8 text" }),
    [](const auto& each) { return each.param.name; });

TEST(ServiceDocument, ReportsAllErrorsInOnePassSortedByPosition)
{
    const std::string text = "service: a b\nkind: model\nmodel: m\ncolour: red\naccounts:\n"
                             "- {account: x, budget: y, weight: 0}\nlimits:\n  deadline: soon\n  max_body: 1GB\n"
                             "backends:\n- {address: nowhere, domain: d}\n- {domain: d}\n";
    EXPECT_THAT(findingsOf(text),
        ElementsAre(StartsWith("1:10: service: expected a name"), StartsWith("4:1: unknown key \"colour\""),
            StartsWith("6:35: accounts[0].weight: 0 is not within 1 to 1000"),
            StartsWith("8:13: limits.deadline: expected a duration"),
            StartsWith("9:13: limits.max_body: expected a size"), StartsWith("11:13: backends[0].address"),
            StartsWith("12:3: backends[1]: missing key \"address\"")));
}

TEST(ServiceDocument, RejectsModelKeysInAPlainService)
{
    EXPECT_THAT(findingsOf(replaced(plainDocument, "call_cost: 5", "max_answer_tokens: 5")),
        ElementsAre(StartsWith("6:3: limits: missing key \"call_cost\""),
            StartsWith("6:22: limits.max_answer_tokens: a plain service has no tokens")));
    EXPECT_THAT(findingsOf(replaced(plainDocument, "limits:\n  call_cost: 5\n", "")),
        ElementsAre("1:1: missing key \"limits\""));
}

// Guards against routers that run out of memory and are killed because they expand aliases: a published document of a
// few lines can stand for 10^9 values by nested aliases. Parsing has to end at the first anchor.
TEST(ServiceDocument, RejectsAnAliasBomb)
{
    std::string bomb = "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n";
    for (int level = 1; level < 10; ++level) {
        const auto previousAlias = "*a" + std::to_string(level - 1);
        bomb += "a" + std::to_string(level) + ": &a" + std::to_string(level) + " [" + previousAlias;
        for (int repeat = 1; repeat < 10; ++repeat) {
            bomb += ", " + previousAlias;
        }
        bomb += "]\n";
    }
    EXPECT_THAT(findingsOf(bomb), ElementsAre("1:5: anchors are not allowed"));
}

TEST(ServiceDocument, LimitsSizeNestingAndNumberOfValues)
{
    EXPECT_THAT(findingsOf(std::string(maxDocumentBytes + 1, ' ')), ElementsAre("0:0: longer than 262144 bytes"));
    EXPECT_THAT(findingsOf("a: " + std::string(100'000, '[')), ElementsAre(HasSubstr("nested deeper than 16 levels")));
    const std::string closed = "a: " + std::string(20, '[') + std::string(20, ']');
    EXPECT_THAT(findingsOf(closed), ElementsAre("1:19: nested deeper than 16 levels"));
    std::string many = "a: [";
    for (int count = 0; count < 60'000; ++count) {
        many += "1,";
    }
    EXPECT_THAT(findingsOf(many + "1]"), ElementsAre(HasSubstr("more than 50000 values")));
    EXPECT_THAT(findingsOf(""), ElementsAre("0:0: the document is empty"));
    EXPECT_THAT(findingsOf("- a"), ElementsAre(StartsWith("1:1: expected a map, found a list")));
}

// Guards against an uncaught exception of the YAML library, which would end all routers at once when an operator
// publishes a binary or incomplete file. For any bytes, the result has to be a document or a finding.
TEST(ServiceDocument, ReturnsADocumentOrAFindingForAnyBytes)
{
    constexpr int rounds = 3'000;
    std::mt19937 random(7);
    const std::string specialCharacters = "{}[]:-?&*!|>'\"%@`#,\n\t \\~";
    for (int round = 0; round < rounds; ++round) {
        std::string text(modelDocument);
        const auto changes = 1 + random() % 12;
        for (std::size_t change = 0; change < changes; ++change) {
            const char letter = random() % 2 == 0 ? specialCharacters[random() % specialCharacters.size()]
                                                  : static_cast<char>(random() % 256);
            text[random() % text.size()] = letter;
        }
        if (random() % 4 == 0) {
            text.resize(random() % text.size());
        }
        findingsOf(text);
    }
}

} // namespace swiftlift::settings
