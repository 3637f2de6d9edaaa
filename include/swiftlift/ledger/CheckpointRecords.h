#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/ledger/Entry.h"

namespace swiftlift::ledger {

/** Maximum size of a checkpoint's state in one record of a keyed stream, in bytes. */
inline constexpr std::size_t maxStateBytesPerRecord = 128 * 1024;
/** Sets of records among which the writers of a large checkpoint alternate. */
inline constexpr unsigned checkpointSets = 2;

/** A record of a keyed stream that has a checkpoint, or a part of one. */
struct CheckpointRecord {
    std::string key;
    std::string value;
};

/**
 * @brief Encodes a checkpoint as records of a keyed stream.
 *
 * A small one is a single record whose key is the ledger's stream. The state of a larger one is cut into parts, each a
 * checkpoint with the same `asOf`; the last part is empty. Only a set whose parts have the same `asOf` is whole, so a
 * set that was written in part, or by two writers at once, is recognised, and the other sets are there in its place.
 * @param stream Name of the ledger's stream.
 * @param author The router that writes the records.
 * @param set Which set of records a large checkpoint replaces; taken modulo `checkpointSets`.
 */
[[nodiscard]] std::vector<CheckpointRecord> toRecords(
    const Checkpoint& checkpoint, const std::string& stream, Incarnation author, unsigned set);

/** Returns the value of a key's record; null when there is none. */
using CheckpointLookup = std::function<const std::string*(const std::string& key)>;

/**
 * @return The newest checkpoint of the ledger's stream that is whole; `std::nullopt`, with the cause in `reason` if a
 * record can't be decoded, when there is none.
 */
[[nodiscard]] std::optional<Checkpoint> newestCheckpoint(
    const std::string& stream, const CheckpointLookup& valueOf, std::string& reason);

} // namespace swiftlift::ledger
