#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <utility>

#include "node/Context.h"
#include "swiftlift/base/Finding.h"

namespace swiftlift::node {

/** Logs and counts records that can't be decoded. A faulty writer may repeat its record, or keep writing new ones. */
class UnreadableRecords {
public:
    explicit UnreadableRecords(Context& context);

    /**
     * @brief Counts the record, and logs it unless the same key and reason were logged before.
     * @param what Kind of the record: `config`, `server`, `evacuation` or a stream's name.
     */
    void add(const char* what, const std::string& key, const std::string& reason);
    void add(const char* what, const std::string& key, const Findings& findings) { add(what, key, toText(findings)); }

private:
    /** Maximum number of log lines on unreadable records per process; the counter metric covers the rest. */
    static constexpr std::size_t maxLines = 64;

    Context& context_;
    /** Key and reason of the records that have been logged. */
    std::set<std::pair<std::string, std::string>> logged_;
};

} // namespace swiftlift::node
