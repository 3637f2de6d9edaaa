#include "transport/LogFollower.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "log.pb.h"

namespace swiftlift::transport::internal {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusGone = 410;
    constexpr std::chrono::milliseconds pauseStep { 20 };

} // namespace

LogFollower::LogFollower(const LogClientSettings& settings, DecisionInbox& decisions, TrafficCounter& traffic,
    Incarnation incarnation, node::Follow follow)
    : settings_(settings)
    , decisions_(decisions)
    , incarnation_(incarnation)
    , stream_(std::move(follow.stream))
    , next_(follow.from.value())
    , log_(settings, traffic)
    , thread_([this] { run(); })
{
}

LogFollower::~LogFollower()
{
    cancel();
    thread_.join();
}

void LogFollower::cancel()
{
    cancelled_.store(true);
    log_.cancel();
}

void LogFollower::run()
{
    auto retry = settings_.retryFirst;
    while (!cancelled_.load()) {
        if (readOnce()) {
            retry = settings_.retryFirst;
            continue;
        }
        pause(retry);
        retry = std::min(retry * 2, settings_.retryMost);
    }
    ended_.store(true);
}

bool LogFollower::readOnce()
{
    HttpRequest request;
    request.target = "/streams/" + stream_.value() + "/records?from=" + std::to_string(next_)
        + "&max=" + std::to_string(settings_.recordsPerRead) + "&wait_ms=" + std::to_string(settings_.pollWait.count());
    const auto answer = log_.call(request, settings_.pollWait + settings_.readLimit);
    if (cancelled_.load()) {
        return false;
    }
    if (!answer) {
        tellUnreachable(log_.lastReason());
        return false;
    }
    if (answer->status == statusOk) {
        return take(*answer);
    }
    if (answer->status == statusGone) {
        return takeExpired(*answer);
    }
    tellUnreachable("status " + std::to_string(answer->status));
    return false;
}

bool LogFollower::take(const HttpResponse& answer)
{
    proto::log::ReadReply reply;
    if (!reply.ParseFromString(answer.body)) {
        tellUnreachable("an answer that can't be decoded");
        return false;
    }
    // Records from elsewhere would be folded at the wrong offsets: a hole, or the same record twice.
    if (reply.records_size() > 0 && reply.first_offset() != next_) {
        tellUnreachable("records from another offset than asked for");
        return false;
    }
    node::LogRecords records;
    records.stream = stream_;
    records.first = Offset(next_);
    records.records.assign(reply.records().begin(), reply.records().end());
    records.end = Offset(reply.end_offset());
    next_ += records.records.size();
    push(std::move(records));
    return true;
}

bool LogFollower::takeExpired(const HttpResponse& answer)
{
    const auto json = nlohmann::json::parse(answer.body, nullptr, false);
    const auto oldest = json.is_object() ? json.find("oldest") : json.end();
    if (oldest == json.end() || !oldest->is_number_unsigned()) {
        tellUnreachable("a 410 without the oldest offset");
        return false;
    }
    push(node::LogExpired { stream_, Offset(oldest->get<std::uint64_t>()) });
    // What to do is the core's decision; until it says Follow with another offset, asking again tells nothing new.
    return false;
}

void LogFollower::tellUnreachable(std::string detail) { push(node::LogUnreachable { stream_, std::move(detail) }); }

void LogFollower::push(node::Event&& event)
{
    // This thread may wait for room, and has to: records that are left out are a hole.
    TaggedEvent tagged { incarnation_, std::move(event) };
    while (!decisions_.tryPush(tagged) && !cancelled_.load()) {
        pause(pauseStep);
    }
}

void LogFollower::pause(std::chrono::milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!cancelled_.load() && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(std::min(limit, pauseStep));
    }
}

} // namespace swiftlift::transport::internal
