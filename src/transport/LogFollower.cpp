#include "transport/LogFollower.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>
#include <variant>

namespace swiftlift::transport::internal {

namespace {

    /** After a read that failed, the next one asks for this part of the records; after one that did not, for twice as
     * many. */
    constexpr std::uint32_t fewerDivisor = 4;
    constexpr std::uint32_t fewestRecords = 64;
    /** Before a full ring is tried again. */
    constexpr std::chrono::milliseconds fullRingPause { 20 };

} // namespace

LogFollower::LogFollower(const LogClientSettings& settings, const LogDialect& dialect, DecisionInbox& decisions,
    TrafficCounter& traffic, Incarnation incarnation, node::Follow follow)
    : settings_(settings)
    , dialect_(dialect)
    , decisions_(decisions)
    , incarnation_(incarnation)
    , follow_(std::move(follow))
    , next_(follow_.from.value())
    , allKeysDue_(follow_.kind != node::StreamKind::Plain)
    , recordsPerRead_(settings_.recordsPerRead)
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
    {
        const std::lock_guard lock(pauseMutex_);
        cancelled_.store(true);
    }
    pauseEnds_.notify_all();
    log_.cancel();
}

void LogFollower::hasten()
{
    {
        const std::lock_guard lock(pauseMutex_);
        hastened_ = true;
    }
    pauseEnds_.notify_all();
}

void LogFollower::run()
{
    auto retry = settings_.retryFirst;
    while (!cancelled_.load()) {
        const bool answered = allKeysDue_ ? readAllKeys() : readOnce();
        if (answered && follow_.kind == node::StreamKind::KeyedOnce) {
            break;
        }
        if (answered) {
            retry = settings_.retryFirst;
            if (!std::exchange(moreWaits_, false)) {
                pauseUnlessHastened(std::chrono::duration_cast<std::chrono::milliseconds>(follow_.pause));
            }
            continue;
        }
        pause(retry);
        retry = std::min(retry * 2, settings_.retryMost);
    }
    ended_.store(true);
}

bool LogFollower::readOnce()
{
    const LogPosition position { follow_.stream, Offset(next_), settings_.pollWait, recordsPerRead_ };
    const auto answer = log_.call(dialect_.read(position), settings_.pollWait + settings_.readLimit);
    if (cancelled_.load()) {
        return false;
    }
    if (!answer) {
        askForFewer();
        tellUnreachable(log_.lastReason());
        return false;
    }
    auto read = dialect_.readAnswer(*answer, Offset(next_));
    if (auto* records = std::get_if<LogRead>(&read)) {
        moreWaits_ = !records->records.empty() && Offset(next_ + records->records.size()) < records->end;
        recordsPerRead_ = std::min(recordsPerRead_ * 2, settings_.recordsPerRead);
        take(std::move(*records));
        return true;
    }
    if (const auto* gone = std::get_if<LogGone>(&read)) {
        takeGone(*gone);
        return false;
    }
    tellUnreachable(std::get<LogProblem>(read).detail);
    return false;
}

bool LogFollower::readAllKeys()
{
    node::KeyedRecords all { follow_.stream, {}, true };
    bool more = true;
    std::string after;
    // Pages are no snapshot: a key that changes meanwhile comes again when the stream is read from the first page's
    // end.
    std::optional<Offset> end;
    while (more) {
        const auto answer = log_.call(dialect_.newest(follow_.stream, after), settings_.readLimit);
        if (cancelled_.load()) {
            return false;
        }
        if (!answer) {
            tellUnreachable(log_.lastReason());
            return false;
        }
        auto page = dialect_.newestAnswer(*answer);
        if (const auto* problem = std::get_if<LogProblem>(&page)) {
            tellUnreachable(problem->detail);
            return false;
        }
        auto& newest = std::get<NewestRead>(page);
        end = end.value_or(newest.end);
        // A page that names no further key would be asked for again for ever.
        more = newest.more && newest.lastKey > after;
        after = std::move(newest.lastKey);
        std::ranges::move(newest.records, std::back_inserter(all.records));
        std::ranges::move(newest.unreadable, std::back_inserter(all.unreadable));
    }
    std::ranges::stable_sort(all.records, {}, &node::KeyedRecord::offset);
    next_ = end->value();
    allKeysDue_ = false;
    push(std::move(all));
    return true;
}

void LogFollower::take(LogRead&& read)
{
    if (follow_.kind == node::StreamKind::Plain) {
        node::LogRecords records { follow_.stream, Offset(next_), std::move(read.records), read.end };
        next_ += records.records.size();
        push(std::move(records));
        return;
    }
    node::KeyedRecords changed { follow_.stream, {}, false };
    for (const std::string& record : read.records) {
        const Offset offset(next_++);
        if (auto keyed = dialect_.keyedRecord(offset, record)) {
            changed.records.push_back(std::move(*keyed));
        } else {
            changed.unreadable.push_back({ {}, "no key in record " + std::to_string(offset.value()) });
        }
    }
    push(std::move(changed));
}

// What goes wrong otherwise: on a link that is full, what has gathered during an outage does not come through within a
// read's time; the next read asks for as much and more, and the reader stays where it was for good. One notices by
// refusals that all name the same `read_to`.
// A keyed stream's record may be a whole configuration: it is never asked for in parts, or it would not come at all.
void LogFollower::askForFewer()
{
    if (follow_.kind != node::StreamKind::Plain) {
        return;
    }
    const std::uint32_t fewest = std::min(fewestRecords, settings_.recordsPerRead);
    recordsPerRead_ = std::max(recordsPerRead_ / fewerDivisor, fewest);
}

void LogFollower::takeGone(const LogGone& gone)
{
    if (follow_.kind != node::StreamKind::Plain) {
        // Of a keyed stream nothing is lost: the newest record of each key is still there.
        allKeysDue_ = true;
        return;
    }
    push(node::LogExpired { follow_.stream, gone.oldest });
    // What to do is the core's decision; until it says Follow with another offset, asking again tells nothing new.
}

void LogFollower::tellUnreachable(std::string detail)
{
    push(node::LogUnreachable { follow_.stream, std::move(detail) });
}

void LogFollower::push(node::Event&& event)
{
    // This thread may wait for room, and has to: records that are left out are a hole.
    TaggedEvent tagged { incarnation_, std::move(event) };
    while (!decisions_.tryPush(tagged) && !cancelled_.load()) {
        pause(fullRingPause);
    }
}

void LogFollower::pause(std::chrono::milliseconds limit)
{
    std::unique_lock lock(pauseMutex_);
    static_cast<void>(pauseEnds_.wait_for(lock, limit, [this] { return cancelled_.load(); }));
}

void LogFollower::pauseUnlessHastened(std::chrono::milliseconds limit)
{
    std::unique_lock lock(pauseMutex_);
    static_cast<void>(pauseEnds_.wait_for(lock, limit, [this] { return cancelled_.load() || hastened_; }));
    hastened_ = false;
}

} // namespace swiftlift::transport::internal
