#include "swiftlift/ledger/CheckpointRecords.h"

#include <algorithm>
#include <utility>

#include "swiftlift/ledger/EntryCodec.h"

namespace swiftlift::ledger {

namespace {

    std::string keyOf(const std::string& stream, unsigned set, std::size_t part)
    {
        return stream + "/" + std::to_string(set) + "/" + std::to_string(part);
    }

    std::string encodeRecord(Checkpoint checkpoint, Incarnation author)
    {
        Batch batch;
        batch.items.push_back({ author, 1, std::move(checkpoint) });
        return encode(batch);
    }

    std::optional<Checkpoint> decodeRecord(const std::string& value, std::string& reason)
    {
        const auto batch = decodeBatch(value, reason);
        if (!batch || batch->items.empty()) {
            return std::nullopt;
        }
        const auto* checkpoint = std::get_if<Checkpoint>(&batch->items.front().entry);
        return checkpoint == nullptr ? std::nullopt : std::optional(*checkpoint);
    }

    /** @return The checkpoint whose parts this set has; `std::nullopt` when the set isn't whole. */
    std::optional<Checkpoint> joinSet(
        const std::string& stream, unsigned set, const CheckpointLookup& valueOf, std::string& reason)
    {
        std::optional<Checkpoint> joined;
        for (std::size_t part = 0;; ++part) {
            const std::string* value = valueOf(keyOf(stream, set, part));
            const auto next = value == nullptr ? std::nullopt : decodeRecord(*value, reason);
            if (!next || (joined && next->asOf != joined->asOf)) {
                return std::nullopt;
            }
            if (next->state.empty()) {
                return joined;
            }
            if (joined) {
                joined->state += next->state;
            } else {
                joined = next;
            }
        }
    }

} // namespace

std::vector<CheckpointRecord> toRecords(
    const Checkpoint& checkpoint, const std::string& stream, Incarnation author, unsigned set)
{
    if (checkpoint.state.size() <= maxStateBytesPerRecord) {
        return { { stream, encodeRecord(checkpoint, author) } };
    }
    set %= checkpointSets;
    std::vector<CheckpointRecord> records;
    for (std::size_t begin = 0; begin < checkpoint.state.size(); begin += maxStateBytesPerRecord) {
        Checkpoint part { checkpoint.asOf, checkpoint.state.substr(begin, maxStateBytesPerRecord) };
        records.push_back({ keyOf(stream, set, records.size()), encodeRecord(std::move(part), author) });
    }
    records.push_back({ keyOf(stream, set, records.size()), encodeRecord({ checkpoint.asOf, {} }, author) });
    return records;
}

std::optional<Checkpoint> newestCheckpoint(
    const std::string& stream, const CheckpointLookup& valueOf, std::string& reason)
{
    const std::string* single = valueOf(stream);
    std::optional<Checkpoint> newest = single == nullptr ? std::nullopt : decodeRecord(*single, reason);
    for (unsigned set = 0; set < checkpointSets; ++set) {
        auto joined = joinSet(stream, set, valueOf, reason);
        if (joined && (!newest || joined->asOf > newest->asOf)) {
            newest = std::move(joined);
        }
    }
    return newest;
}

} // namespace swiftlift::ledger
