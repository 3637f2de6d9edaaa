#include "swiftlift/settings/CtlSettings.h"

#include "settings/Checker.h"
#include "settings/Text.h"
#include "settings/Yaml.h"

namespace swiftlift::settings {

namespace {

    using internal::Checker;
    using internal::Presence;
    using internal::Range;
    using std::chrono::hours;
    using std::chrono::milliseconds;

    constexpr std::size_t maxSettingsBytes = 256UL * 1024;
    constexpr Range<std::uint64_t> shardRange { 1, 1'024 };
    constexpr Range<Duration> timeoutRange { milliseconds(50), hours(1) };

    void readLog(Checker& root, CtlSettings& settings)
    {
        auto checker = root.section("log", Presence::Required);
        checker.addresses("endpoints", Presence::Required, settings.logEndpoints);
        checker.duration("timeout", Presence::Optional, timeoutRange, settings.logTimeout);
        checker.duration("patience", Presence::Optional, timeoutRange, settings.logPatience);
        checker.reportUnknownKeys();
        if (settings.logTimeout > settings.logPatience) {
            checker.report(checker.hasKey("timeout") ? "timeout" : "patience",
                "timeout has to be no longer than patience (defaults: timeout 2s, patience 10s)");
        }
    }

    [[nodiscard]] CtlSettings readSettings(Checker& root)
    {
        CtlSettings settings;
        root.name("author", Presence::Optional, settings.author);
        readLog(root, settings);
        auto ledger = root.section("ledger", Presence::Optional);
        ledger.unsignedNumber("shards", Presence::Optional, shardRange, settings.ledgerShards);
        ledger.reportUnknownKeys();
        auto routers = root.section("routers", Presence::Optional);
        routers.addresses("operators", Presence::Optional, settings.routers);
        routers.duration("timeout", Presence::Optional, timeoutRange, settings.routerTimeout);
        routers.reportUnknownKeys();
        root.reportUnknownKeys();
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
