#pragma once

#include <string_view>

#include "config.pb.h"
#include "swiftlift/config/ConfigFold.h"

namespace swiftlift::config {

struct ConfigFold::Parsed {
    explicit Parsed(std::string_view raw)
        : readable(record.ParseFromArray(raw.data(), static_cast<int>(raw.size())) && record.rules_version() > 0)
    {
    }

    [[nodiscard]] Offset asOf() const { return Offset { record.snapshot().as_of() }; }

    /** @return True for a state that a peer sends in place of records it no longer keeps. */
    [[nodiscard]] bool statesPeer(Offset offset) const
    {
        return readable && record.has_snapshot() && record.snapshot().as_of() == offset.value() + 1;
    }

    proto::config::Record record;
    bool readable;
};

} // namespace swiftlift::config
