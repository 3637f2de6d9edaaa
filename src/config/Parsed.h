#pragma once

#include <string_view>

#include "config.pb.h"
#include "swiftlift/config/ConfigFold.h"

namespace swiftlift::config {

/** @brief A record of the stream `config`, parsed; `readable` is false when the raw record has no valid form. */
struct ConfigFold::Parsed {
    explicit Parsed(std::string_view raw)
        : readable(record.ParseFromArray(raw.data(), static_cast<int>(raw.size())) && record.rules_version() > 0)
    {
    }

    /** @return Offset up to which the snapshot's state is complete, exclusive; 0 for a record without snapshot. */
    [[nodiscard]] Offset asOf() const { return Offset { record.snapshot().as_of() }; }

    /** @return True when the record is a snapshot that a peer sends in place of records no longer kept there. */
    [[nodiscard]] bool isPeerState(Offset offset) const
    {
        return readable && record.has_snapshot() && record.snapshot().as_of() == offset.value() + 1;
    }

    proto::config::Record record;
    bool readable;
};

} // namespace swiftlift::config
