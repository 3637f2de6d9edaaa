#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "swiftlift/base/Ids.h"

namespace swiftlift::node {

/** The latest raw records of a stream, to be passed on to peers that can't reach the log. */
class RecordCache {
public:
    static constexpr std::size_t maxBytes = 512 * 1024;

    /** Adds the record at `offset`; a jump forgets all before it. */
    void add(Offset offset, const std::string& record)
    {
        if (offset != next()) {
            records_.clear();
            bytes_ = 0;
            first_ = offset;
        }
        records_.push_back(record);
        bytes_ += record.size();
        while (bytes_ > maxBytes && records_.size() > 1) {
            bytes_ -= records_.front().size();
            records_.pop_front();
            first_ = Offset { first_.value() + 1 };
        }
    }

    [[nodiscard]] bool holds(Offset offset) const noexcept { return offset >= first_ && offset < next(); }

    /** @return Records from `from` on, at most about `limit` bytes and at least one. */
    [[nodiscard]] std::vector<std::string> from(Offset from, std::size_t limit) const
    {
        std::vector<std::string> result;
        std::size_t bytes = 0;
        for (std::size_t index = from.value() - first_.value(); index < records_.size() && bytes < limit; ++index) {
            result.push_back(records_[index]);
            bytes += records_[index].size();
        }
        return result;
    }

private:
    [[nodiscard]] Offset next() const noexcept { return Offset { first_.value() + records_.size() }; }

    std::deque<std::string> records_;
    Offset first_;
    std::size_t bytes_ = 0;
};

} // namespace swiftlift::node
