#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "common/Signal.h"

namespace swiftlift::standins {

/** Records with offsets from 0. Records past the retention stay for the audit unless they are forgotten. */
class Stream {
public:
    /** @return The offset of the first record appended. */
    std::uint64_t append(std::deque<std::string> records);

    /** @param count How many of the newest records readers may still see. */
    void retain(std::uint64_t count);
    /** Frees the records that readers can't see any more. */
    void forgetExpired();

    [[nodiscard]] std::uint64_t end() const noexcept { return first_ + records_.size(); }
    /** @return The oldest offset that readers may see. */
    [[nodiscard]] std::uint64_t oldest() const noexcept { return oldest_; }
    /** @return The oldest offset that is still in memory. */
    [[nodiscard]] std::uint64_t first() const noexcept { return first_; }
    [[nodiscard]] const std::string& record(std::uint64_t offset) const { return records_.at(offset - first_); }
    [[nodiscard]] std::uint64_t bytes() const noexcept { return bytes_; }
    /** Notified on each append. */
    [[nodiscard]] Signal& appended() noexcept { return appended_; }

private:
    std::deque<std::string> records_;
    std::uint64_t first_ = 0;
    std::uint64_t oldest_ = 0;
    std::uint64_t bytes_ = 0;
    Signal appended_;
};

} // namespace swiftlift::standins
