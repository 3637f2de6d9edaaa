#include "log/Stream.h"

#include <algorithm>

namespace swiftlift::standins {

std::uint64_t Stream::append(std::deque<std::string> records)
{
    const auto offset = end();
    for (auto& record : records) {
        bytes_ += record.size();
        records_.push_back(std::move(record));
    }
    appended_.notify();
    return offset;
}

void Stream::retain(std::uint64_t count)
{
    const auto kept = std::min(count, end());
    oldest_ = std::max(oldest_, end() - kept);
}

void Stream::forgetExpired()
{
    while (first_ < oldest_) {
        records_.pop_front();
        ++first_;
    }
}

} // namespace swiftlift::standins
