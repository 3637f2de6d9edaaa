#include "ctl/StreamReader.h"

#include <utility>

namespace swiftlift::ctl {

StreamReader::StreamReader(Log& log, StreamName stream)
    : log_(log)
    , stream_(std::move(stream))
{
}

bool StreamReader::catchUp(Duration wait)
{
    // Without this limit, reading would restart forever if records expire faster than they are read.
    constexpr int maxRestarts = 5;
    int restarts = 0;
    while (true) {
        const auto answer = log_.read(stream_, readFrom(), wait);
        wait = {};
        if (const auto* const failed = std::get_if<ReadFailed>(&answer)) {
            return fail(failed->reason);
        }
        if (const auto* const expired = std::get_if<ReadExpired>(&answer)) {
            if (++restarts > maxRestarts) {
                return fail("records of " + stream_.value() + " expire faster than they can be read");
            }
            startFrom(expired->oldest);
            continue;
        }
        const auto& read = std::get<ReadRecords>(answer);
        if (!applyAll(read)) {
            return false;
        }
        if (read.records.empty() || readFrom() >= read.end) {
            break;
        }
    }
    return !seeking() || fail("records of " + stream_.value() + " have expired, and none that is left restores them");
}

bool StreamReader::applyAll(const ReadRecords& read)
{
    auto offset = read.first.value();
    for (const auto& record : read.records) {
        const auto expected = readFrom();
        if (offset > expected.value()) {
            return fail("the log left out records of " + stream_.value() + " before " + std::to_string(offset));
        }
        if (offset == expected.value() && !apply(Offset(offset), record)) {
            return false;
        }
        if (offset == expected.value() && readFrom().value() != offset + 1) {
            // A checkpoint was found: the next read continues at the offset that the checkpoint restored.
            return true;
        }
        ++offset;
    }
    return true;
}

bool StreamReader::fail(std::string reason)
{
    lastReason_ = std::move(reason);
    return false;
}

} // namespace swiftlift::ctl
