#include <gmock/gmock.h>

#include "ctl/LineDiff.h"
#include "ctl/Routers.h"
#include "ctl/Table.h"

namespace swiftlift::ctl {

namespace {

    using Json = nlohmann::json;

    class FakeRouters final : public Routers {
    public:
        RouterAnswers answers;
        std::string lastTarget;

        [[nodiscard]] RouterAnswers queryAll(const std::string& target) override
        {
            lastTarget = target;
            return answers;
        }
    };

    const settings::Endpoint near("127.0.1.1:8001");
    const settings::Endpoint far("127.0.2.1:8001");

} // namespace

TEST(LineDiff, ListsTheLinesThatDiffer)
{
    EXPECT_EQ(lineDiff("a\nb\nc\n", "a\nb\nc"), "");
    EXPECT_EQ(lineDiff("a\nb\nc\nd\n", "a\nx\nc\nd\ne\n"), "-2: b\n+2: x\n+5: e\n");
    EXPECT_EQ(lineDiff("", "a\n"), "+1: a\n");
    EXPECT_EQ(lineDiff("a\nb\n", ""), "-1: a\n-2: b\n");
}

TEST(LineDiff, FallsBackToFullReplacementForLargeTexts)
{
    std::string before;
    std::string after;
    for (int line = 0; line < 5'000; ++line) {
        before += "b" + std::to_string(line) + '\n';
        after += "a" + std::to_string(line) + '\n';
    }
    const auto diff = lineDiff(before, after);
    EXPECT_THAT(diff, testing::StartsWith("-1: b0\n"));
    EXPECT_THAT(diff, testing::EndsWith("+5000: a4999\n"));
}

TEST(Table, AlignsColumnsByCharacters)
{
    Table table({ "NAME", "N" });
    table.add({ "Wspólna", "1" });
    table.add({ "a", "22" });
    EXPECT_EQ(table.text(), "NAME     N\nWspólna  1\na        22\n");
    EXPECT_EQ(readable(Json::parse(R"({"vms":[{"peer":"p","x":null},{"peer":"q","y":1}],"n":2})")),
        "n: 2\nvms:\npeer  x  y\np     -  -\nq     -  1\n");
}

// During a partition each router knows only the VMs of its own side. A command that queried one router would present
// this partial view as the view of the whole fleet, so each row names the routers that reported it.
TEST(Routers, NamesReportingRoutersOfEachRowAndRoutersWithoutAnswer)
{
    FakeRouters routers;
    EXPECT_EQ(routerViews(routers, "vms").code, ExitCode::Unreachable);
    const auto one = Json::parse(R"({"vms":[{"peer":"b"},{"peer":"a"}]})");
    const auto other = Json::parse(R"({"vms":[{"peer":"a"},{"peer":"c","state":"x"}]})");
    routers.answers = { { near, one, {} }, { far, other, {} }, { settings::Endpoint("x:1"), one, {} },
        { settings::Endpoint("y:1"), std::nullopt, "refused" } };
    const auto report = routerViews(routers, "vms");
    EXPECT_EQ(routers.lastTarget, "/vms");
    EXPECT_EQ(report.text,
        "peer  seen_by                 state\n"
        "a     all                     -\n"
        "b     all but 127.0.2.1:8001  -\n"
        "c     127.0.2.1:8001          x\n"
        "no answer from y:1 (refused)\n");
}

TEST(Routers, MapsIncarnationsToVms)
{
    FakeRouters routers;
    routers.answers
        = { { near, Json::parse(R"({"incarnation":"07","peer":"p","vms":[{"incarnation":"08","peer":"q"}]})"), {} },
              { far, std::nullopt, "refused" } };
    EXPECT_EQ(vmNames(routers), (VmNames { { "07", "p" }, { "08", "q" } }));
}

TEST(Routers, ExplainsARequestOrReportsThatNoRouterRemembersIt)
{
    FakeRouters routers;
    routers.answers = { { near, Json::parse(R"({"request":"r/1","decisions":[]})"), {} } };
    const auto unknown = explainRequest(routers, "r/1");
    EXPECT_EQ(routers.lastTarget, "/explain?request=r%2F1");
    EXPECT_EQ(unknown.code, ExitCode::Refused);
    routers.answers.push_back(
        { far, Json::parse(R"({"decisions":[{"kind":"route","ago_ms":12,"backend":"127.0.11.1:8100"}]})"), {} });
    const auto known = explainRequest(routers, "r/1");
    EXPECT_EQ(known.code, ExitCode::Ok);
    EXPECT_EQ(known.text, "decided by 127.0.2.1:8001:\n  route ago_ms=12 backend=127.0.11.1:8100\n");
}

TEST(Routers, AddsHoldingsOfOneAccount)
{
    FakeRouters routers;
    routers.answers = { { near,
        Json::parse(
            R"({"budgets":[{"account":"a"}],"holdings":[{"account":"a","amount":5},{"account":"b","amount":6}]})"),
        {} } };
    Report report;
    addHoldings(routers, AccountId("a"), report);
    EXPECT_EQ(report.text,
        "\nholdings now, as the routers tell:\nrouter          account  amount\n127.0.1.1:8001  a        5\n");
    EXPECT_EQ(report.json["holdings"].size(), 1U);
    EXPECT_EQ(routerStatus(routers).json["routers"][0]["router"], "127.0.1.1:8001");
}

} // namespace swiftlift::ctl
