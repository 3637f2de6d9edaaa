#include "transport/LogEndReader.h"

#include <chrono>
#include <utility>
#include <variant>

namespace swiftlift::transport::internal {

namespace {

    /** One request of each incarnation of the core, of which an earlier one may still be in the ring. */
    constexpr std::size_t ringCapacity = 8;
    constexpr std::chrono::milliseconds idleWait { 500 };
    /** Time between two attempts to push an event into a full ring. */
    constexpr std::chrono::milliseconds fullRingRetryInterval { 1 };
    /** The records themselves are not needed. */
    constexpr std::uint32_t recordsPerRead = 1;

} // namespace

LogEndReader::LogEndReader(
    const LogClientSettings& settings, const LogDialect& dialect, DecisionInbox& decisions, LogTraffic& traffic)
    : settings_(settings)
    , dialect_(dialect)
    , decisions_(decisions)
    , log_(settings, traffic)
    , requests_(ringCapacity)
    , thread_([this] { run(); })
{
}

LogEndReader::~LogEndReader() { stop(); }

void LogEndReader::request(Incarnation incarnation, node::ReadEnd&& read)
{
    requests_.pushOrDrop(Request { incarnation, std::move(read) });
}

void LogEndReader::stop()
{
    stopping_.store(true);
    log_.cancel();
    requests_.wakeup().signal();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void LogEndReader::run()
{
    while (!stopping_.load()) {
        static_cast<void>(requests_.wakeup().waitFor(idleWait));
        requests_.wakeup().consume();
        while (const auto request = requests_.tryPop()) {
            pushToDecisions(request->incarnation, readEnd(request->read));
        }
    }
}

node::StreamEnd LogEndReader::readEnd(const node::ReadEnd& read)
{
    node::StreamEnd result { read.stream, read.number, std::nullopt };
    const LogPosition position { read.stream, read.from, std::chrono::milliseconds::zero(), recordsPerRead };
    const auto answer = log_.read(read.stream, dialect_.read(position), settings_.readLimit);
    if (!answer) {
        result.detail = log_.lastReason();
        return result;
    }
    const auto decoded = dialect_.readAnswer(*answer, read.from);
    if (const auto* records = std::get_if<LogRead>(&decoded)) {
        result.end = records->end;
    } else if (const auto* problem = std::get_if<LogProblem>(&decoded)) {
        result.detail = problem->detail;
    } else {
        result.detail = "the records have expired";
    }
    return result;
}

void LogEndReader::pushToDecisions(Incarnation incarnation, node::StreamEnd&& end)
{
    // This event must not be lost: the core asks again only once it has the answer.
    TaggedEvent tagged { incarnation, std::move(end) };
    while (!decisions_.tryPushUrgent(tagged) && !stopping_.load()) {
        std::this_thread::sleep_for(fullRingRetryInterval);
    }
}

} // namespace swiftlift::transport::internal
