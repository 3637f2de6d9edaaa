#include <fstream>
#include <functional>
#include <sstream>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <nlohmann/json.hpp>

#include "swiftlift/settings/RouterSettings.h"

namespace swiftlift::platform::test {
namespace {

    using nlohmann::json;
    using testing::ElementsAre;
    using testing::EndsWith;
    using testing::IsEmpty;

    /** @return The value at a path such as `limits.cpu_quota` or `port_range.0`; null if there is none. */
    json valueAt(const json& values, const std::string& path)
    {
        json value = values;
        std::istringstream keys(path);
        for (std::string key; std::getline(keys, key, '.');) {
            if (value.is_array()) {
                const std::size_t index = std::stoul(key);
                value = index < value.size() ? json(value[index]) : json();
            } else {
                value = value.is_object() && value.contains(key) ? json(value[key]) : json();
            }
        }
        return value;
    }

    std::string textOf(const json& value)
    {
        if (value.is_null()) {
            return {};
        }
        return value.is_string() ? value.get<std::string>() : value.dump();
    }

    std::string replacedAll(std::string text, const std::string& from, const std::string& to)
    {
        for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size()) {
            text.replace(at, from.size(), to);
        }
        return text;
    }

    /** Fills in a template as the platform does: sections for the elements of lists, then single values. */
    std::string fillIn(std::string text, const json& values)
    {
        for (std::size_t at = 0; (at = text.find("{{#", at)) != std::string::npos;) {
            const std::size_t bodyAt = text.find("}}", at) + 2;
            const std::string path = text.substr(at + 3, bodyAt - at - 5);
            const std::string closing = "{{/" + path + "}}";
            const std::size_t end = text.find(closing, bodyAt);
            const std::string body = text.substr(bodyAt, end - bodyAt);
            std::string filled;
            for (const json& element : valueAt(values, path)) {
                filled += replacedAll(body, "{{.}}", textOf(element));
            }
            text.replace(at, end + closing.size() - at, filled);
        }
        for (std::size_t at = 0; (at = text.find("{{", at)) != std::string::npos;) {
            const std::size_t end = text.find("}}", at);
            text.replace(at, end + 2 - at, textOf(valueAt(values, text.substr(at + 2, end - at - 2))));
        }
        return text;
    }

    /** @return What the platform tells a router's process, as far as the template uses it. */
    json platformValues()
    {
        return { { "ip", "10.1.0.40" }, { "zone", "regina-a" }, { "region", "sask-south" },
            { "listen",
                { { "frontend", "10.1.0.40:8227" }, { "ready", "10.1.0.40:8220" }, { "control", "10.1.0.40:8229" } } },
            { "port_range", { 7340, 7355 } }, { "seeds", { "10.1.0.40:8229", "10.2.0.29:8229" } },
            { "limits", { { "bandwidth_mbps", 1000.0 }, { "cpu_quota", 0.25 } } },
            { "platform",
                { { "address", "10.200.1.7:8223" }, { "keep_s", 300 }, { "reads_per_s", 2000 },
                    { "writes_per_s", 800 } } },
            { "bounds",
                { { "retry_budget_ratio", 0.2 }, { "retry_budget_extra", 56 }, { "budget_window_s", 10 },
                    { "grace_s", 8 } } } };
    }

    /** Values that replace those of the platform, by their JSON pointers. */
    using Changes = std::vector<std::pair<std::string, json>>;

    class SettingsTemplateTest : public testing::Test {
    protected:
        /** @return The settings, with some values of the platform replaced. */
        std::optional<settings::RouterSettings> read(const Changes& changes)
        {
            json values = platformValues();
            for (const auto& [pointer, value] : changes) {
                values[json::json_pointer(pointer)] = value;
            }
            std::stringstream text;
            text << std::ifstream(SWIFTLIFT_SETTINGS_TEMPLATE).rdbuf();
            findings_.clear();
            return settings::parseRouterSettings(fillIn(text.str(), values), "local.yaml", findings_);
        }

        /** @return What is wrong with the value of the platform, which ends no process. */
        std::vector<std::string> unusable(const std::string& pointer, const json& value)
        {
            const auto settings = read({ { pointer, value } });
            EXPECT_TRUE(settings.has_value()) << pointer << " = " << value << ": " << toText(findings_);
            std::vector<std::string> texts;
            for (const Finding& finding : settings ? settings->unusable : Findings {}) {
                texts.push_back(toText(finding));
            }
            return texts;
        }

        Findings findings_;
    };

    TEST_F(SettingsTemplateTest, ReadsWhatThePlatformStates)
    {
        const auto settings = read({});
        ASSERT_TRUE(settings.has_value()) << toText(findings_);
        EXPECT_THAT(settings->unusable, IsEmpty()) << toText(settings->unusable);
        EXPECT_EQ(settings->vm.region, Region("sask-south"));
        EXPECT_EQ(settings->vm.bandwidth, 1000);
        EXPECT_EQ(settings->vm.cores, 0.25);
        EXPECT_EQ(settings->logReadRate, 2000);
        EXPECT_EQ(settings->logAppendRate, 800);
        EXPECT_EQ(settings->peers.seeds.size(), 2U);
        EXPECT_EQ(settings->ledger.retention, std::chrono::seconds(300));
        EXPECT_EQ(settings->retries.ratio, 0.2);
        EXPECT_EQ(settings->retries.extra, 56);
        EXPECT_EQ(settings->retries.window, std::chrono::seconds(10));
        EXPECT_EQ(settings->stopLimit, std::chrono::seconds(8));
    }

    // Guards against a fleet whose processes all end because the platform has no VM to name.
    TEST_F(SettingsTemplateTest, NoSeedsIsAnEmptyList)
    {
        for (const json& none : { json::array(), json() }) {
            EXPECT_THAT(unusable("/seeds", none), IsEmpty());
        }
    }

    // Guards against a fleet whose processes all end because the platform writes a whole number with a fraction, or has
    // a bound that isn't whole.
    TEST_F(SettingsTemplateTest, NumbersMayHaveFractions)
    {
        const char* const pointers[] = { "/bounds/grace_s", "/bounds/budget_window_s", "/platform/keep_s",
            "/bounds/retry_budget_ratio", "/bounds/retry_budget_extra", "/platform/reads_per_s",
            "/platform/writes_per_s", "/limits/bandwidth_mbps", "/limits/cpu_quota" };
        for (const char* const pointer : pointers) {
            for (const double number : { 8.0, 7.5, 0.5 }) {
                EXPECT_THAT(unusable(pointer, number), IsEmpty()) << pointer << " = " << number;
            }
        }
        EXPECT_EQ(read({ { "/bounds/grace_s", 7.5 } })->stopLimit, std::chrono::milliseconds(7500));
        EXPECT_EQ(read({ { "/platform/keep_s", 20.5 } })->ledger.retention, std::chrono::milliseconds(20'500));
    }

    // Guards against a fleet whose processes all end because the platform has no value for something that a router can
    // do without.
    TEST_F(SettingsTemplateTest, AbsentValuesAreNamedAndTheDefaultsApply)
    {
        const std::pair<const char*, const char*> keys[]
            = { { "/region", "vm.region" }, { "/limits/bandwidth_mbps", "vm.bandwidth" },
                  { "/limits/cpu_quota", "vm.cores" }, { "/platform/reads_per_s", "log.read_rate" },
                  { "/platform/writes_per_s", "log.append_rate" }, { "/platform/keep_s", "ledger.retention" },
                  { "/bounds/retry_budget_ratio", "retries.ratio" }, { "/bounds/retry_budget_extra", "retries.extra" },
                  { "/bounds/budget_window_s", "retries.window" }, { "/bounds/grace_s", "stop.limit" } };
        for (const auto& [pointer, key] : keys) {
            for (const json& none : { json(), json("") }) {
                EXPECT_THAT(unusable(pointer, none), ElementsAre(testing::HasSubstr(key))) << pointer;
            }
        }
        const auto settings = read({ { "/bounds", json::object() }, { "/limits", json::object() } });
        ASSERT_TRUE(settings.has_value()) << toText(findings_);
        const settings::RetrySettings defaults;
        EXPECT_EQ(settings->retries.ratio, defaults.ratio);
        EXPECT_EQ(settings->retries.extra, defaults.extra);
        EXPECT_EQ(settings->retries.window, defaults.window);
        EXPECT_EQ(settings->stopLimit, settings::RouterSettings {}.stopLimit);
        EXPECT_EQ(settings->vm.bandwidth, 0);
    }

    // Guards against a fleet whose processes all end because of a value that the platform should not have.
    TEST_F(SettingsTemplateTest, UnusableValuesAreNamedAndTheDefaultsApply)
    {
        EXPECT_THAT(unusable("/bounds/grace_s", 0), ElementsAre(EndsWith("stop.limit: 0s is not within 100ms to 1h")));
        EXPECT_THAT(unusable("/platform/keep_s", -1), ElementsAre(testing::HasSubstr("ledger.retention: expected")));
        EXPECT_THAT(unusable("/limits/cpu_quota", true), ElementsAre(testing::HasSubstr("vm.cores: expected")));
        EXPECT_THAT(unusable("/region", "no region"), ElementsAre(testing::HasSubstr("vm.region: expected a name")));
        const json seeds { "10.1.0.40:8229", "10.1.0.40:8229", nullptr, "vm-1:8229", "10.2.0.29:8229" };
        EXPECT_THAT(unusable("/seeds", seeds), testing::SizeIs(3));
        EXPECT_THAT(read({ { "/seeds", seeds } })->peers.seeds,
            ElementsAre(PeerAddress("10.1.0.40:8229"), PeerAddress("10.2.0.29:8229")));
    }

    // Guards against retries beyond the fleet's bound where the bound isn't understood.
    TEST_F(SettingsTemplateTest, UnusableRetryBoundAllowsNoRetries)
    {
        const Changes unusableBounds { { "/bounds/retry_budget_ratio", -1 }, { "/bounds/retry_budget_extra", "few" },
            { "/bounds/budget_window_s", 0 }, { "/bounds/retry_budget_ratio", true } };
        for (const auto& change : unusableBounds) {
            const auto settings = read({ change });
            ASSERT_TRUE(settings.has_value()) << toText(findings_);
            EXPECT_EQ(settings->retries.ratio, 0) << change.first;
            EXPECT_EQ(settings->retries.extra, 0) << change.first;
        }
        const auto none = read({ { "/bounds/retry_budget_ratio", 0 }, { "/bounds/retry_budget_extra", 0 } });
        EXPECT_EQ(none->retries.ratio, 0);
        EXPECT_EQ(none->retries.extra, 0);
        EXPECT_THAT(none->unusable, IsEmpty());
    }

    // Guards against a zone whose name is a word of YAML.
    TEST_F(SettingsTemplateTest, NamesMayBeWordsOfYaml)
    {
        for (const char* const name : { "null", "no", "true", "1" }) {
            const auto settings = read({ { "/zone", name }, { "/region", name } });
            ASSERT_TRUE(settings.has_value()) << toText(findings_);
            EXPECT_EQ(settings->vm.domain, FailureDomain(name));
            EXPECT_EQ(settings->vm.region, Region(name));
        }
    }

    // Guards against a router that runs without an address or a failure domain of its own.
    TEST_F(SettingsTemplateTest, AddressesAndTheFailureDomainAreRequired)
    {
        for (const char* const pointer : { "/zone", "/listen", "/ip", "/platform/address" }) {
            EXPECT_FALSE(read({ { pointer, json() } }).has_value()) << pointer;
            EXPECT_THAT(findings_, testing::Not(IsEmpty()));
        }
    }

} // namespace
} // namespace swiftlift::platform::test
