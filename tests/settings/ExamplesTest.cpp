#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include <gmock/gmock.h>

#include "settings/Samples.h"
#include "swiftlift/settings/CtlSettings.h"
#include "swiftlift/settings/RouterSettings.h"
#include "swiftlift/settings/ServiceDocument.h"

namespace swiftlift::settings {

namespace {

    namespace fs = std::filesystem;

    /** An example deployment under deploy/ with its expected VMs, weighting and plain service. */
    struct Example {
        std::string name;
        std::map<std::string, std::size_t> vmsOfDomain;
        Weighting weighting;
        std::string plainService;
    };

    const Example stitchworks { "stitchworks",
        { { "regina-a", 2 }, { "regina-b", 2 }, { "moose-jaw", 2 }, { "swift-current", 2 } }, Weighting::Refusals,
        "desk-orders" };
    const Example burzowa { "burzowa", { { "lodz-a", 2 }, { "lodz-b", 1 }, { "wwa-1", 2 }, { "wwa-2", 1 } },
        Weighting::Overspend, "alert-records" };

    class Examples : public testing::TestWithParam<Example> {
    protected:
        [[nodiscard]] fs::path folder() const { return fs::path(SWIFTLIFT_DEPLOY_DIR) / GetParam().name; }

        [[nodiscard]] std::vector<RouterSettings> readRouters()
        {
            std::vector<RouterSettings> routers;
            for (const auto& entry : fs::directory_iterator(folder() / "routers")) {
                if (const auto settings = readRouterSettings(entry.path().string(), findings_)) {
                    routers.push_back(*settings);
                }
            }
            return routers;
        }

        [[nodiscard]] std::vector<ServiceDocument> readServices()
        {
            std::vector<ServiceDocument> services;
            for (const auto& entry : fs::directory_iterator(folder() / "services")) {
                std::ostringstream text;
                text << std::ifstream(entry.path()).rdbuf();
                if (const auto document = parseServiceDocument(text.str(), entry.path().string(), findings_)) {
                    services.push_back(*document);
                }
            }
            return services;
        }

        Findings findings_;
    };

} // namespace

TEST_P(Examples, HaveNoFindings)
{
    const auto routers = readRouters();
    const auto services = readServices();
    const auto ctl = readCtlSettings((folder() / "ctl.yaml").string(), findings_);
    EXPECT_TRUE(findings_.empty()) << testing::PrintToString(test::texts(findings_));
    EXPECT_EQ(services.size(), 3U);
    ASSERT_TRUE(ctl.has_value());
    std::map<std::string, std::size_t> vmsOfDomain;
    std::set<Endpoint> operators(ctl->routers.begin(), ctl->routers.end());
    for (const auto& router : routers) {
        ++vmsOfDomain[router.vm.domain.value()];
        EXPECT_EQ(router.ledger.shards, ctl->ledgerShards);
        EXPECT_EQ(operators.erase(router.operatorsListen), 1U) << router.operatorsListen.value();
    }
    EXPECT_EQ(vmsOfDomain, GetParam().vmsOfDomain);
    EXPECT_TRUE(operators.empty());
}

TEST_P(Examples, HaveTheExpectedNumbersOfBackendsAndAccounts)
{
    constexpr std::size_t modelBackends = 20;
    constexpr std::size_t plainBackends = 4;
    for (const auto& service : readServices()) {
        const bool isPlain = service.service.value() == GetParam().plainService;
        EXPECT_EQ(service.kind, isPlain ? BackendKind::Plain : BackendKind::Model);
        EXPECT_EQ(service.backends.size(), isPlain ? plainBackends : modelBackends);
        EXPECT_EQ(service.accounts.size(), 10U);
        EXPECT_EQ(service.weighting, GetParam().weighting);
        for (const auto& backend : service.backends) {
            EXPECT_TRUE(GetParam().vmsOfDomain.contains(backend.domain.value())) << backend.domain.value();
        }
    }
}

INSTANTIATE_TEST_SUITE_P(
    Deployments, Examples, testing::Values(stitchworks, burzowa), [](const auto& each) { return each.param.name; });

} // namespace swiftlift::settings
