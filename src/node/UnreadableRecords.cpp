#include "node/UnreadableRecords.h"

namespace swiftlift::node {

UnreadableRecords::UnreadableRecords(Context& context)
    : context_(context)
{
}

void UnreadableRecords::add(const char* what, const std::string& key, const std::string& reason)
{
    context_.count("swiftlift_unreadable_records_total", { { "what", what } });
    const bool known = logged_.contains({ key, reason });
    if (known || logged_.size() >= maxLines) {
        return;
    }
    logged_.insert({ key, reason });
    context_.log(LogLineBuilder("unreadable").with("what", what).with("key", key).with("findings", reason));
}

} // namespace swiftlift::node
