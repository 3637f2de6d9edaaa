#include "transport/LogFollower.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>
#include <variant>

#include "swiftlift/transport/SteadyInstant.h"

namespace swiftlift::transport::internal {

namespace {

    /** A read without an answer divides the number of records per read by this; a successful read doubles it. */
    constexpr std::uint32_t reductionDivisor = 4;
    constexpr std::uint32_t minRecordsPerRead = 64;
    /** A list whose first page is older than this is begun anew: the log may have dropped the changes since then. */
    constexpr std::chrono::seconds maxListAge { 10 };
    /** A read after one that timed out has this many times the limit: more would let a read hang on after an outage. */
    constexpr int limitFactorAfterTimeout = 2;
    /** Mean size of records from which on only the newest of each key are read if there are several. */
    constexpr std::size_t largeRecordBytes = 4096;
    /** Size from which on a record is a configuration that the log takes seconds to send to a whole fleet. */
    constexpr std::size_t hugeRecordBytes = 64 * 1024;
    /** Less than a huge record takes: a read that asks for no more shows the stream's end, and small records. */
    constexpr std::uint32_t recordsWithoutHugeOnes = 1;
    /** The newest of each key has this many times the limit if there was a huge record. */
    constexpr int limitFactorOfHugeRecords = 4;
    /** A read has this many times the limit for a while after the log refused one: its other answers wait in a queue.
     */
    constexpr int limitFactorOfBusyLog = 4;
    constexpr std::chrono::seconds busyTime { 5 };
    constexpr int statusTooManyRequests = 429;
    constexpr int statusUnavailable = 503;
    /** Time between two attempts to push an event into a full ring. */
    constexpr std::chrono::milliseconds fullRingRetryInterval { 20 };

} // namespace

LogFollower::LogFollower(const LogClientSettings& settings, const LogDialect& dialect, DecisionInbox& decisions,
    LogTraffic& traffic, Incarnation incarnation, node::Follow follow)
    : settings_(settings)
    , dialect_(dialect)
    , decisions_(decisions)
    , incarnation_(incarnation)
    , follow_(std::move(follow))
    , pause_(follow_.pause)
    , nextOffset_(follow_.from.value())
    , allKeysPending_(follow_.kind != node::StreamKind::Plain)
    , recordsPerRead_(settings_.recordsPerRead)
    , log_(settings, traffic)
    , random_(static_cast<std::minstd_rand::result_type>(incarnation.value()))
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
    pauseEnded_.notify_all();
    log_.cancel();
}

void LogFollower::expediteNextRead()
{
    {
        const std::lock_guard lock(pauseMutex_);
        nextReadExpedited_ = true;
    }
    pauseEnded_.notify_all();
}

void LogFollower::run()
{
    auto backoff = settings_.retryFirst;
    while (!cancelled_.load()) {
        const bool answered = allKeysPending_ ? readAllKeys() : readRecords();
        if (answered && follow_.kind == node::StreamKind::KeyedOnce) {
            break;
        }
        if (answered) {
            backoff = settings_.retryFirst;
            if (!std::exchange(moreAvailable_, false)) {
                pauseUnlessExpedited(std::chrono::duration_cast<std::chrono::milliseconds>(pause_.load()));
            }
            continue;
        }
        pause(jittered(backoff));
        backoff = std::min(backoff * 2, settings_.retryMost);
    }
    ended_.store(true);
}

// Answers that hundreds of routers ask for at once take the log longer than one. If each gave up at the same limit and
// asked again, the log would send the same bytes again and again, and no router would ever have them. A log that
// refuses some reads at once is not away: the others get their answers after the longest wait that it allows.
std::optional<HttpResponse> LogFollower::call(const HttpRequest& request, std::chrono::milliseconds wait, int factor)
{
    const Instant begun = steadyInstant();
    if (refusedAt_ && begun - *refusedAt_ < busyTime) {
        factor = std::max(factor, limitFactorOfBusyLog);
    }
    const auto limit = wait + settings_.readLimit * std::max(factor, lastReadTimedOut_ ? limitFactorAfterTimeout : 1);
    auto answer = log_.read(follow_.stream, request, limit);
    lastReadTimedOut_ = !answer && steadyInstant() - begun >= limit;
    if (answer && (answer->status == statusUnavailable || answer->status == statusTooManyRequests)) {
        refusedAt_ = steadyInstant();
    }
    return answer;
}

// A stream of large records is a configuration that changes faster than it can be read: only the newest counts, and
// each record that is read on the way delays it.
bool LogFollower::skipsToNewest(const LogRead& read, std::size_t bytes) const
{
    const bool isLarge = !read.records.empty() && bytes / read.records.size() >= largeRecordBytes;
    return follow_.kind == node::StreamKind::Keyed && isLarge && moreAvailable_;
}

bool LogFollower::readRecords()
{
    // After a failure the log's answer is awaited, whether or not it has records: it shows what is the newest.
    const auto wait = std::exchange(asksForEnd_, true) ? std::chrono::milliseconds::zero() : settings_.pollWait;
    const std::uint32_t count = recordsAreHuge_ ? recordsWithoutHugeOnes : recordsPerRead_;
    const LogPosition position { follow_.stream, Offset(nextOffset_), wait, count };
    const Instant askedAt = steadyInstant();
    const auto answer = call(dialect_.read(position), wait);
    const Instant answeredAt = steadyInstant();
    if (cancelled_.load()) {
        return false;
    }
    if (!answer) {
        reduceRecordsPerRead();
        reportUnreachable(log_.lastReason());
        return false;
    }
    auto read = dialect_.readAnswer(*answer, Offset(nextOffset_));
    if (auto* records = std::get_if<LogRead>(&read)) {
        const bool behind = Offset(nextOffset_ + records->records.size()) < records->end;
        moreAvailable_ = behind && (recordsAreHuge_ || !records->records.empty());
        // A log that has nothing new answers after `pollWait`, and one that has records at any moment since it was
        // asked. The rest of the time the answer may have been under way, and says nothing about that.
        const Instant readAt = records->records.empty() ? std::min(answeredAt, askedAt + wait) : askedAt;
        asksForEnd_ = false;
        allKeysPending_ = skipsToNewest(*records, answer->body.size()) || (recordsAreHuge_ && behind);
        for (const std::string& record : records->records) {
            noteRecordSize(record.size());
        }
        recordsPerRead_ = std::min(recordsPerRead_ * 2, settings_.recordsPerRead);
        handleRecords(std::move(*records), readAt);
        return true;
    }
    if (const auto* expired = std::get_if<LogGone>(&read)) {
        handleExpiry(*expired);
        return false;
    }
    reportUnreachable(std::get<LogProblem>(read).detail);
    return false;
}

// The pages are not a consistent snapshot. A key that changes between them is read again, because reading continues at
// the end offset of the first page. For the same reason a list can be continued after a failed page: hundreds of
// routers that start together and read long lists exceed the log's bandwidth, and would never finish if each began
// again.
bool LogFollower::readAllKeys()
{
    if (list_ && steadyInstant() - list_->begunAt > maxListAge) {
        list_.reset();
    }
    if (!list_) {
        list_ = PartialList { steadyInstant(), { follow_.stream, {}, true }, {}, std::nullopt };
    }
    bool more = true;
    while (more) {
        const int factor = recordsAreHuge_ ? limitFactorOfHugeRecords : 1;
        const auto answer = call(dialect_.newest(follow_.stream, list_->after), {}, factor);
        if (cancelled_.load()) {
            return false;
        }
        if (!answer) {
            reportUnreachable(log_.lastReason());
            return false;
        }
        auto page = dialect_.newestAnswer(*answer);
        if (const auto* problem = std::get_if<LogProblem>(&page)) {
            reportUnreachable(problem->detail);
            return false;
        }
        more = addPage(std::move(std::get<NewestRead>(page)));
    }
    node::KeyedRecords all = std::move(list_->records);
    std::ranges::stable_sort(all.records, {}, &node::KeyedRecord::offset);
    all.next = *list_->end;
    // Changes since the first page are read after the list.
    all.readAt = list_->begunAt;
    nextOffset_ = all.next.value();
    list_.reset();
    allKeysPending_ = false;
    // A long list is old when it is here: the end of the stream shows whether it is still the newest.
    asksForEnd_ = recordsAreHuge_;
    pushToDecisions(std::move(all));
    return true;
}

void LogFollower::noteRecordSize(std::size_t bytes)
{
    recordsAreHuge_ = recordsAreHuge_ || (follow_.kind == node::StreamKind::Keyed && bytes >= hugeRecordBytes);
}

bool LogFollower::addPage(NewestRead&& page)
{
    list_->end = list_->end.value_or(page.end);
    // Without a later last key, the same page would be requested again without end.
    const bool more = page.more && page.lastKey > list_->after;
    list_->after = std::move(page.lastKey);
    for (const node::KeyedRecord& record : page.records) {
        noteRecordSize(record.value ? record.value->size() : 0);
    }
    std::ranges::move(page.records, std::back_inserter(list_->records.records));
    std::ranges::move(page.unreadable, std::back_inserter(list_->records.unreadable));
    return more;
}

void LogFollower::handleRecords(LogRead&& read, Instant readAt)
{
    if (follow_.kind == node::StreamKind::Plain) {
        node::LogRecords records { follow_.stream, Offset(nextOffset_), std::move(read.records), read.end };
        nextOffset_ += records.records.size();
        pushToDecisions(std::move(records));
        return;
    }
    node::KeyedRecords changed { follow_.stream, {}, false };
    for (const std::string& record : read.records) {
        const Offset offset(nextOffset_++);
        if (auto keyed = dialect_.keyedRecord(offset, record)) {
            changed.records.push_back(std::move(*keyed));
        } else {
            changed.unreadable.push_back({ {}, "can't decode record at offset " + std::to_string(offset.value()) });
        }
    }
    changed.next = Offset(nextOffset_);
    changed.reachesEnd = changed.next >= read.end;
    changed.readAt = readAt;
    pushToDecisions(std::move(changed));
}

// With a fixed number of records, the backlog of an outage can be too large for a saturated link to deliver within the
// read timeout. Each retry would request as much or more, and the follower would never advance. The symptom is refusals
// that all have the same `read_to`.
// Keyed streams are exempt: one record may be a whole configuration, which would not arrive if less were requested.
void LogFollower::reduceRecordsPerRead()
{
    if (follow_.kind != node::StreamKind::Plain) {
        return;
    }
    const std::uint32_t minimum = std::min(minRecordsPerRead, settings_.recordsPerRead);
    recordsPerRead_ = std::max(recordsPerRead_ / reductionDivisor, minimum);
}

void LogFollower::handleExpiry(const LogGone& expired)
{
    if (follow_.kind != node::StreamKind::Plain) {
        // Expiry loses nothing of a keyed stream: the log keeps the newest record of each key.
        allKeysPending_ = true;
        return;
    }
    pushToDecisions(node::LogExpired { follow_.stream, expired.oldest });
    // The core decides how to continue. Until it follows the stream from another offset, further reads fail likewise.
}

void LogFollower::reportUnreachable(std::string detail)
{
    pushToDecisions(node::LogUnreachable { follow_.stream, std::move(detail) });
}

void LogFollower::pushToDecisions(node::Event&& event)
{
    // Wait until the ring has room: a dropped event would leave a gap in the stream's records.
    TaggedEvent tagged { incarnation_, std::move(event) };
    // All events of one stream take the same way, so that they keep their order.
    const bool urgent = follow_.kind != node::StreamKind::Plain;
    const auto push = [&] { return urgent ? decisions_.tryPushUrgent(tagged) : decisions_.tryPush(tagged); };
    while (!push() && !cancelled_.load()) {
        pause(fullRingRetryInterval);
    }
}

void LogFollower::pause(std::chrono::milliseconds limit)
{
    std::unique_lock lock(pauseMutex_);
    static_cast<void>(pauseEnded_.wait_for(lock, limit, [this] { return cancelled_.load(); }));
}

std::chrono::milliseconds LogFollower::jittered(std::chrono::milliseconds backoff)
{
    std::uniform_int_distribution<std::chrono::milliseconds::rep> part(backoff.count() / 2, backoff.count());
    return std::chrono::milliseconds(part(random_));
}

void LogFollower::pauseUnlessExpedited(std::chrono::milliseconds limit)
{
    std::unique_lock lock(pauseMutex_);
    static_cast<void>(pauseEnded_.wait_for(lock, limit, [this] { return cancelled_.load() || nextReadExpedited_; }));
    nextReadExpedited_ = false;
}

} // namespace swiftlift::transport::internal
