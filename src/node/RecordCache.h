#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "swiftlift/base/Ids.h"

namespace swiftlift::node {

/** Cache of the latest raw records of a stream, for peers that can't reach the log. */
class RecordCache {
public:
    /** Limit of the cached records' total size; the newest record is always kept. */
    static constexpr std::size_t maxBytes = 512 * 1024;

    /** Adds the record at `offset`. If it does not follow the previous record, all previous records are removed. */
    void add(Offset offset, const std::string& record)
    {
        if (offset != nextOffset()) {
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

    [[nodiscard]] bool contains(Offset offset) const noexcept { return offset >= first_ && offset < nextOffset(); }

    /**
     * @param from Offset of the first record to return; contains() must be true of it.
     * @param limit Size in bytes after which no further record is added.
     * @return At least one record.
     */
    [[nodiscard]] std::vector<std::string> recordsFrom(Offset from, std::size_t limit) const
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
    /** @return Offset after the newest record. */
    [[nodiscard]] Offset nextOffset() const noexcept { return Offset { first_.value() + records_.size() }; }

    std::deque<std::string> records_;
    Offset first_;
    std::size_t bytes_ = 0;
};

} // namespace swiftlift::node
