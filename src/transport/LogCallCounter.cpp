#include "swiftlift/transport/LogCallCounter.h"

#include <algorithm>
#include <utility>

namespace swiftlift::transport {

void LogCallCounter::noteRead(const StreamName& stream, std::optional<std::uint64_t> bytes, Duration took)
{
    const std::lock_guard lock(mutex_);
    node::StreamCalls& calls = callsOf(stream);
    ++calls.reads;
    calls.failedReads += bytes ? 0 : 1;
    calls.readBytes += bytes.value_or(0);
    calls.longestRead = std::max(calls.longestRead, took);
}

void LogCallCounter::noteAppend(const StreamName& stream, std::uint64_t bytes, bool succeeded, Duration took)
{
    const std::lock_guard lock(mutex_);
    node::StreamCalls& calls = callsOf(stream);
    ++calls.appends;
    calls.failedAppends += succeeded ? 0 : 1;
    calls.appendBytes += bytes;
    calls.longestAppend = std::max(calls.longestAppend, took);
}

node::LogCalls LogCallCounter::take()
{
    const std::lock_guard lock(mutex_);
    node::LogCalls taken;
    for (auto& [stream, calls] : std::exchange(calls_, {})) {
        taken.streams.push_back(std::move(calls));
    }
    return taken;
}

node::StreamCalls& LogCallCounter::callsOf(const StreamName& stream)
{
    node::StreamCalls& calls = calls_[stream];
    calls.stream = stream;
    return calls;
}

} // namespace swiftlift::transport
