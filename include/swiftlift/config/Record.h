#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "swiftlift/base/Ids.h"

namespace swiftlift::config {

/** Version of the fold's rules. A fold stops at a record of a later version, since unknown rules may change its effect.
 */
inline constexpr std::uint32_t rulesVersion = 1;

/** @brief A document that an operator publishes, or the withdrawal of a service. */
struct PublishRequest {
    ServiceName service;
    /** The whole YAML document; empty withdraws the service. */
    std::string document;
    /** The service's last revision, which this publish replaces; empty when the service has never existed. */
    std::optional<Offset> replaces;
    std::string author;
    /** Random, and unchanged when the append is retried, so that duplicates are recognized; 0 disables recognition. */
    std::uint64_t id = 0;
};

/** @return The serialized record to append to the stream `config`. */
[[nodiscard]] std::string encode(const PublishRequest& request);

} // namespace swiftlift::config
