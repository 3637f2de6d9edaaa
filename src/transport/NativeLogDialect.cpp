#include "swiftlift/transport/NativeLogDialect.h"

#include <nlohmann/json.hpp>

#include "log.pb.h"

namespace swiftlift::transport {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusGone = 410;

    std::string pathOf(const StreamName& stream) { return "/streams/" + stream.value(); }

    LogProblem unexpected(int status) { return { "status " + std::to_string(status) }; }

} // namespace

HttpRequest NativeLogDialect::append(const node::Append& append) const
{
    proto::log::AppendRequest body;
    body.add_records(append.record);
    HttpRequest request;
    request.method = "POST";
    request.target = pathOf(append.stream) + "/append";
    request.contentType = "application/x-protobuf";
    request.body = body.SerializeAsString();
    return request;
}

std::optional<LogProblem> NativeLogDialect::appendProblem(const HttpResponse& answer) const
{
    return answer.status == statusOk ? std::nullopt : std::optional(unexpected(answer.status));
}

HttpRequest NativeLogDialect::read(const LogPosition& position) const
{
    HttpRequest request;
    request.target = pathOf(position.stream) + "/records?from=" + std::to_string(position.from.value())
        + "&max=" + std::to_string(position.maxRecords) + "&wait_ms=" + std::to_string(position.wait.count());
    return request;
}

std::variant<LogRead, LogGone, LogProblem> NativeLogDialect::readAnswer(const HttpResponse& answer, Offset from) const
{
    if (answer.status == statusGone) {
        const auto json = nlohmann::json::parse(answer.body, nullptr, false);
        const auto oldest = json.is_object() ? json.find("oldest") : json.end();
        if (oldest == json.end() || !oldest->is_number_unsigned()) {
            return LogProblem { "status 410 without the oldest offset" };
        }
        return LogGone { Offset(oldest->get<std::uint64_t>()) };
    }
    if (answer.status != statusOk) {
        return unexpected(answer.status);
    }
    proto::log::ReadReply reply;
    if (!reply.ParseFromString(answer.body)) {
        return LogProblem { "can't decode the answer to a read" };
    }
    // Records from another offset would be folded at wrong offsets, so that records are missing or folded twice.
    if (reply.records_size() > 0 && reply.first_offset() != from.value()) {
        return LogProblem { "records start at another offset than requested" };
    }
    return LogRead { { reply.records().begin(), reply.records().end() }, Offset(reply.end_offset()) };
}

HttpRequest NativeLogDialect::newest(const StreamName& stream, const std::string& /*after*/) const
{
    HttpRequest request;
    request.target = pathOf(stream) + "/newest";
    return request;
}

std::variant<NewestRead, LogProblem> NativeLogDialect::newestAnswer(const HttpResponse& /*answer*/) const
{
    return LogProblem { "this log does not support keyed streams" };
}

std::optional<node::KeyedRecord> NativeLogDialect::keyedRecord(Offset /*offset*/, const std::string& /*record*/) const
{
    return std::nullopt;
}

} // namespace swiftlift::transport
