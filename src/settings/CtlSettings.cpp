#include "swiftlift/settings/CtlSettings.h"

#include "settings/Checker.h"
#include "settings/Text.h"
#include "settings/Yaml.h"

namespace swiftlift::settings {

namespace {

    using internal::Checker;
    using internal::Need;
    using internal::Range;
    using std::chrono::hours;
    using std::chrono::milliseconds;

    constexpr std::size_t maxSettingsBytes = 256UL * 1024;
    constexpr Range<std::uint64_t> shardRange { 1, 1'024 };
    constexpr Range<Duration> timeoutRange { milliseconds(50), hours(1) };

    void readLog(Checker& root, CtlSettings& settings)
    {
        auto checker = root.section("log", Need::Required);
        checker.addresses("endpoints", Need::Required, settings.logEndpoints);
        checker.duration("timeout", Need::Optional, timeoutRange, settings.logTimeout);
        checker.duration("patience", Need::Optional, timeoutRange, settings.logPatience);
        checker.finish();
        if (settings.logTimeout > settings.logPatience) {
            checker.report(checker.has("timeout") ? "timeout" : "patience",
                "timeout has to be no longer than patience (defaults: timeout 2s, patience 10s)");
        }
    }

    [[nodiscard]] CtlSettings readSettings(Checker& root)
    {
        CtlSettings settings;
        root.name("author", Need::Optional, settings.author);
        readLog(root, settings);
        auto ledger = root.section("ledger", Need::Optional);
        ledger.unsignedNumber("shards", Need::Optional, shardRange, settings.ledgerShards);
        ledger.finish();
        auto routers = root.section("routers", Need::Optional);
        routers.addresses("operators", Need::Optional, settings.routers);
        routers.duration("timeout", Need::Optional, timeoutRange, settings.routerTimeout);
        routers.finish();
        root.finish();
        return settings;
    }

} // namespace

std::optional<CtlSettings> parseCtlSettings(std::string_view text, const std::string& source, Findings& findings)
{
    return internal::parseChecked(
        text, source, maxSettingsBytes, findings, [](Checker& root) { return readSettings(root); });
}

std::optional<CtlSettings> readCtlSettings(const std::string& file, Findings& findings)
{
    const auto text = internal::readFile(file, maxSettingsBytes, findings);
    return text ? parseCtlSettings(*text, file, findings) : std::nullopt;
}

} // namespace swiftlift::settings
