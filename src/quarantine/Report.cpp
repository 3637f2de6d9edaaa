#include "swiftlift/quarantine/Report.h"

#include <array>
#include <charconv>

#include "quarantine.pb.h"
#include "swiftlift/base/Numbers.h"

namespace swiftlift::quarantine {

namespace {

    constexpr int hexadecimal = 16;
    constexpr char separator = '-';

    [[nodiscard]] std::string hexOf(std::uint64_t number)
    {
        std::array<char, sizeof number * 2> digits {};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, hexadecimal).ptr;
        return { digits.data(), end };
    }

} // namespace

std::string keyOf(const ReportId& id) { return hexOf(id.reporter.value()) + separator + hexOf(id.number); }

std::optional<ReportId> idOf(std::string_view key)
{
    const auto place = key.find(separator);
    if (place == std::string_view::npos) {
        return std::nullopt;
    }
    const auto reporter = parseWhole<std::uint64_t>(key.substr(0, place), hexadecimal);
    const auto number = parseWhole<std::uint64_t>(key.substr(place + 1), hexadecimal);
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
    return record.SerializeAsString();
}

std::optional<Report> decode(std::string_view record)
{
    proto::quarantine::Report read;
    if (!read.ParseFromArray(record.data(), static_cast<int>(record.size())) || read.reporter() == 0) {
        return std::nullopt;
    }
    Report report { { Incarnation(read.reporter()), read.number() }, {}, std::nullopt };
    for (const auto& request : read.requests()) {
        report.requests.push_back({ AccountId(request.account()), { request.content_high(), request.content_low() } });
    }
    if (read.has_lost()) {
        report.failedInstance = BackendInstance { BackendId(read.lost().backend()), read.lost().started_at() };
    }
    return report;
}

} // namespace swiftlift::quarantine
