#include "ctl/HttpLog.h"

#include <cassert>
#include <cstdint>
#include <utility>

#include <nlohmann/json.hpp>

#include "log.pb.h"

namespace swiftlift::ctl {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusExpired = 410;
    /** Maximum number of records in one read. */
    constexpr int maxRecordsPerRead = 1'000;

    [[nodiscard]] std::string statusText(const HttpReply& reply)
    {
        return "the log answered " + std::to_string(reply.status);
    }

    [[nodiscard]] ReadAnswer readExpired(const HttpReply& reply)
    {
        const auto json = nlohmann::json::parse(reply.body, nullptr, false);
        if (!json.is_object() || !json.contains("oldest") || !json["oldest"].is_number_unsigned()) {
            return ReadFailed { "the log's answer 410 names no oldest offset" };
        }
        return ReadExpired { Offset(json["oldest"].get<std::uint64_t>()) };
    }

} // namespace

HttpLog::HttpLog(std::vector<settings::Endpoint> endpoints, Duration timeout)
    : endpoints_(std::move(endpoints))
    , http_(timeout)
{
    assert(!endpoints_.empty() && "settings name at least one endpoint");
}

bool HttpLog::append(const StreamName& stream, const std::string& record)
{
    proto::log::AppendRequest request;
    request.add_records(record);
    const auto body = request.SerializeAsString();
    http_.setExtraTime({});
    for (std::size_t attempt = 0; attempt < endpoints_.size(); ++attempt) {
        const auto reply = http_.post(endpoints_[current_], "/streams/" + stream.value() + "/append", body);
        if (reply && reply->status == statusOk) {
            return true;
        }
        lastReason_ = endpoints_[current_].value() + ": " + (reply ? statusText(*reply) : http_.lastReason());
        useNextEndpoint();
    }
    return false;
}

ReadAnswer HttpLog::read(const StreamName& stream, Offset from, Duration wait)
{
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    const auto target = "/streams/" + stream.value() + "/records?from=" + std::to_string(from.value())
        + "&max=" + std::to_string(maxRecordsPerRead) + "&wait_ms=" + std::to_string(waitMs);
    http_.setExtraTime(wait);
    ReadAnswer answer = ReadFailed { "the log has no endpoint" };
    for (std::size_t attempt = 0; attempt < endpoints_.size(); ++attempt) {
        const auto reply = http_.get(endpoints_[current_], target);
        answer = reply ? readReply(*reply) : ReadFailed { endpoints_[current_].value() + ": " + http_.lastReason() };
        if (!std::holds_alternative<ReadFailed>(answer)) {
            return answer;
        }
        useNextEndpoint();
    }
    return answer;
}

ReadAnswer HttpLog::readReply(const HttpReply& reply)
{
    if (reply.status == statusExpired) {
        return readExpired(reply);
    }
    if (reply.status != statusOk) {
        return ReadFailed { statusText(reply) };
    }
    proto::log::ReadReply message;
    if (!message.ParseFromString(reply.body)) {
        return ReadFailed { "the log's answer is no valid ReadReply" };
    }
    ReadRecords records { Offset(message.first_offset()), {}, Offset(message.end_offset()) };
    records.records.assign(message.records().begin(), message.records().end());
    return records;
}

void HttpLog::useNextEndpoint() noexcept { current_ = (current_ + 1) % endpoints_.size(); }

} // namespace swiftlift::ctl
