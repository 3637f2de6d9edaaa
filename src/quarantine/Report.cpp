#include "swiftlift/quarantine/Report.h"

#include <array>
#include <charconv>

#include "quarantine.pb.h"
#include "swiftlift/base/Numbers.h"

namespace swiftlift::quarantine {

namespace {

    constexpr int hexadecimalBase = 16;
    constexpr char separator = '-';

    [[nodiscard]] std::string toHexDigits(std::uint64_t number)
    {
        std::array<char, sizeof number * 2> digits {};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, hexadecimalBase).ptr;
        return { digits.data(), end };
    }

} // namespace

std::string keyOf(const ReportId& id) { return toHexDigits(id.reporter.value()) + separator + toHexDigits(id.number); }

std::optional<ReportId> idOf(std::string_view key)
{
    const auto separatorAt = key.find(separator);
    if (separatorAt == std::string_view::npos) {
        return std::nullopt;
    }
    const auto reporter = parseWhole<std::uint64_t>(key.substr(0, separatorAt), hexadecimalBase);
    const auto number = parseWhole<std::uint64_t>(key.substr(separatorAt + 1), hexadecimalBase);
    return reporter && number ? std::optional(ReportId { Incarnation(*reporter), *number }) : std::nullopt;
}

std::string encode(const Report& report)
{
    proto::quarantine::Report record;
    record.set_reporter(report.id.reporter.value());
    record.set_number(report.id.number);
    for (const auto& [account, content] : report.requests) {
        auto& request = *record.add_requests();
        request.set_account(account.value());
        request.set_content_high(content.high);
        request.set_content_low(content.low);
    }
    if (report.failedInstance) {
        record.mutable_lost()->set_backend(report.failedInstance->server.value());
        record.mutable_lost()->set_started_at(report.failedInstance->startedAt);
    }
    for (const PromptPart& each : report.parts) {
        auto& part = *record.add_parts();
        part.set_service(each.service);
        part.set_hash(each.hash);
    }
    record.set_held_back(report.heldBack);
    return record.SerializeAsString();
}

std::optional<Report> decode(std::string_view record)
{
    proto::quarantine::Report message;
    if (!message.ParseFromArray(record.data(), static_cast<int>(record.size())) || message.reporter() == 0) {
        return std::nullopt;
    }
    Report report { { Incarnation(message.reporter()), message.number() }, {}, std::nullopt };
    for (const auto& request : message.requests()) {
        report.requests.push_back({ AccountId(request.account()), { request.content_high(), request.content_low() } });
    }
    if (message.has_lost()) {
        report.failedInstance = BackendInstance { BackendId(message.lost().backend()), message.lost().started_at() };
    }
    for (const auto& part : message.parts()) {
        report.parts.push_back({ part.service(), part.hash() });
    }
    report.heldBack = message.held_back();
    return report;
}

} // namespace swiftlift::quarantine
