#include "log/LogService.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include "common/Text.h"
#include "log.pb.h"

namespace swiftlift::standins {

namespace internal {

    constexpr std::uint64_t longestWaitMs = 60000;
    constexpr std::uint64_t maxRecords = 1000;
    constexpr std::uint64_t mostReadBytes = 4U << 20U;
    const std::string protobufType = "application/x-protobuf";
    const std::string streamsPrefix = "/streams/";

    struct StreamPath {
        std::string stream;
        std::string call;
    };

    StreamPath splitPath(const std::string& path)
    {
        if (!path.starts_with(streamsPrefix)) {
            return {};
        }
        const auto slash = path.find('/', streamsPrefix.size());
        if (slash == std::string::npos) {
            return {};
        }
        return { path.substr(streamsPrefix.size(), slash - streamsPrefix.size()), path.substr(slash + 1) };
    }

    std::string readReply(const Stream& stream, std::uint64_t from, std::uint64_t max)
    {
        proto::log::ReadReply reply;
        reply.set_first_offset(from);
        reply.set_end_offset(stream.end());
        reply.set_oldest_offset(stream.oldest());
        std::uint64_t bytes = 0;
        for (auto offset = from; offset < stream.end() && offset - from < max && bytes < mostReadBytes; ++offset) {
            reply.add_records(stream.record(offset));
            bytes += stream.record(offset).size();
        }
        return reply.SerializeAsString();
    }

    Json expiredReply(const Stream& stream) { return { { "oldest", stream.oldest() } }; }

} // namespace internal

LogService::LogService(const LogSettings& settings)
    : settings_(settings)
    , rate_(settings.appendsPerSecond)
    , random_(settings.seed)
{
    addControls();
}

void LogService::addControls()
{
    gate_.addControls(controls());
    controls().addValue("lose_answers", loseAnswers_);
    controls().addValue("lose_next_answers", loseNextAnswers_);
    controls().add("late_appends_ms", [this](const Json& value, Json&) {
        lateMs_ = value.get<double>();
        lateCount_ = std::max<std::uint64_t>(lateCount_, 1);
    });
    controls().addValue("count", lateCount_);
    controls().add("retain", [this](const Json& value, Json&) {
        settings_.retainRecords = value.get<std::uint64_t>();
        retainAll();
    });
    controls().add("appends_per_second", [this](const Json& value, Json&) { rate_ = AppendRate(value.get<double>()); });
}

void LogService::retainAll()
{
    for (auto& [name, stream] : streams_) {
        stream.retain(settings_.retainRecords);
        if (settings_.forget != 0) {
            stream.forgetExpired();
        }
    }
}

std::uint64_t LogService::apply(const std::string& stream, std::deque<std::string> records)
{
    const auto offset = streams_[stream].append(std::move(records));
    retainAll();
    return offset;
}

bool LogService::losesAnswer()
{
    if (loseNextAnswers_ > 0) {
        --loseNextAnswers_;
        return true;
    }
    return loseAnswers_ > 0 && std::uniform_real_distribution<double>()(random_) < loseAnswers_;
}

Awaitable<void> LogService::serve(Exchange& exchange)
{
    const auto [stream, call] = internal::splitPath(exchange.path());
    const bool isAppend = call == "append" && exchange.isPost();
    if (!isAppend && call != "records") {
        co_return;
    }
    const bool entered = co_await gate_.enter(exchange);
    if (!entered) {
        co_return;
    }
    if (isAppend) {
        co_await append(exchange, stream);
    } else {
        co_await read(exchange, streams_[stream]);
    }
}

Awaitable<void> LogService::append(Exchange& exchange, const std::string& stream)
{
    proto::log::AppendRequest request;
    if (!request.ParseFromString(exchange.body())) {
        co_await exchange.answerError(400, "not an AppendRequest");
        co_return;
    }
    if (!rate_.take()) {
        ++counters_.rejected;
        co_await exchange.answerError(429, "rate");
        co_return;
    }
    std::deque<std::string> records(request.records().begin(), request.records().end());
    if (lateCount_ > 0 && lateMs_ > 0) {
        --lateCount_;
        ++counters_.lateAppends;
        const auto executor = co_await asio::this_coro::executor;
        asio::co_spawn(executor, appendLate(stream, std::move(records), Milliseconds(lateMs_)), asio::detached);
        exchange.drop();
        co_return;
    }
    ++counters_.appends;
    const auto offset = apply(stream, std::move(records));
    co_await answerAppend(exchange, offset);
}

Awaitable<void> LogService::appendLate(std::string stream, std::deque<std::string> records, Milliseconds delay)
{
    co_await sleepFor(delay);
    ++counters_.appends;
    static_cast<void>(apply(stream, std::move(records)));
}

Awaitable<void> LogService::answerAppend(Exchange& exchange, std::uint64_t offset)
{
    if (losesAnswer()) {
        ++counters_.lostAnswers;
        exchange.drop();
        co_return;
    }
    const bool answerable = co_await gate_.leave(exchange);
    if (answerable) {
        proto::log::AppendReply reply;
        reply.set_first_offset(offset);
        co_await exchange.answer(200, internal::protobufType, reply.SerializeAsString());
    }
}

Awaitable<void> LogService::read(Exchange& exchange, Stream& stream)
{
    ++counters_.reads;
    const auto from = exchange.number("from", 0);
    const auto max = std::min(exchange.number("max", internal::maxRecords), internal::maxRecords);
    const auto wait = std::min(exchange.number("wait_ms", 0), internal::longestWaitMs);
    const auto deadline = Clock::now() + std::chrono::milliseconds(wait);
    while (from >= stream.end() && Clock::now() < deadline && !exchange.isClosed()) {
        ++counters_.waitingReads;
        co_await exchange.wait(stream.appended(), deadline);
        --counters_.waitingReads;
    }
    const bool answerable = co_await gate_.leave(exchange);
    if (!answerable) {
        co_return;
    }
    if (from < stream.oldest()) {
        ++counters_.expiredReads;
        co_await exchange.answerJson(410, internal::expiredReply(stream));
        co_return;
    }
    co_await exchange.answer(200, internal::protobufType, internal::readReply(stream, from, max));
}

Json LogService::auditRecords(const std::string& name) const
{
    Json records = Json::array();
    const auto found = streams_.find(name);
    if (found == streams_.end()) {
        return { { "first_offset", 0 }, { "records", std::move(records) } };
    }
    const auto& stream = found->second;
    for (auto offset = stream.first(); offset < stream.end(); ++offset) {
        records.push_back(toBase64(stream.record(offset)));
    }
    return { { "first_offset", stream.first() }, { "records", std::move(records) } };
}

Json LogService::audit(const Exchange& exchange) const
{
    if (exchange.path() == "/audit/records") {
        return auditRecords(exchange.parameter("stream"));
    }
    Json streams = Json::object();
    for (const auto& [name, stream] : streams_) {
        streams[name] = { { "records", stream.end() }, { "oldest", stream.oldest() }, { "bytes", stream.bytes() } };
    }
    return { { "streams", std::move(streams) }, { "appends", counters_.appends }, { "rejected", counters_.rejected },
        { "lost_answers", counters_.lostAnswers }, { "late_appends", counters_.lateAppends },
        { "reads", counters_.reads }, { "waiting_reads", counters_.waitingReads },
        { "expired_reads", counters_.expiredReads }, { "refused", gate_.refused() }, { "held", gate_.held() },
        { "bytes_in", byteCounts().in }, { "bytes_out", byteCounts().out } };
}

} // namespace swiftlift::standins
