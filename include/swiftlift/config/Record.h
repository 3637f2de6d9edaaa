#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "swiftlift/base/Ids.h"

namespace swiftlift::config {

/** Version of the fold's rules. A fold that reads a record of a later version stops rather than guess. */
inline constexpr std::uint32_t rulesVersion = 1;

/** What an operator publishes. */
struct PublishRequest {
    ServiceName service;
    /** The whole YAML document; empty withdraws the service. */
    std::string document;
    /** The revision this one replaces; nothing when the service never was. */
    std::optional<Offset> replaces;
    std::string author;
    /** Random, and the same when the append is made again. */
    std::uint64_t id = 0;
};

/** @return The record to append to the stream `config`. */
[[nodiscard]] std::string encode(const PublishRequest& request);

} // namespace swiftlift::config
