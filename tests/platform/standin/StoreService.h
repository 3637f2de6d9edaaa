#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "common/Gate.h"
#include "common/Service.h"
#include "common/Signal.h"

namespace swiftlift::platform::standin {

/** A topic with one partition: its records by offset, and for a keyed topic also the newest record of each key. */
class Topic {
public:
    explicit Topic(bool keyed)
        : keyed_(keyed)
    {
    }

    /** @return The offset of the first appended record. */
    std::uint64_t append(std::deque<std::string> records);
    /** Expires all records but the newest `count`; the newest record of each key stays available by its key. */
    void keepNewest(std::uint64_t count);

    [[nodiscard]] std::uint64_t first() const noexcept { return first_; }
    [[nodiscard]] std::uint64_t end() const noexcept { return first_ + records_.size(); }
    [[nodiscard]] const std::string& record(std::uint64_t offset) const { return records_.at(offset - first_); }
    [[nodiscard]] standins::Signal& appended() noexcept { return appended_; }

    struct Newest {
        std::uint64_t offset = 0;
        std::string value;
    };
    [[nodiscard]] const std::map<std::string, Newest>& newest() const noexcept { return newest_; }

private:
    void index(std::uint64_t offset, const std::string& record);

    bool keyed_;
    std::uint64_t first_ = 0;
    std::deque<std::string> records_;
    std::map<std::string, Newest> newest_;
    standins::Signal appended_;
};

/** How a list of keys writes the bytes of a key that aren't UTF-8, as JSON has no form for them. */
enum class OddKeys : std::uint8_t {
    /** Each invalid sequence as U+FFFD. */
    Replaced,
    /** The bytes as they are. */
    Raw,
    /** Each byte as half of a surrogate pair. */
    Escaped,
};

/**
 * @brief Stand-in for the platform's metadata store with the calls that the router uses.
 *
 * `POST /control` accepts the controls of standins::Gate, `put` ({"topic", "key", "value"}: a write of the operator or
 * an engine; without a value the key is deleted), `keep` (number of newest records that each topic keeps),
 * `odd_keys` (`replaced`, `raw` or `escaped`, see OddKeys) and `turn_away` (HTTP status with which every call is
 * answered; 0: calls are served).
 */
class StoreService final : public standins::Service {
public:
    StoreService();

    [[nodiscard]] standins::Awaitable<void> serve(standins::Exchange& exchange) override;
    [[nodiscard]] standins::Json audit(const standins::Exchange& exchange) const override;

private:
    [[nodiscard]] Topic& topicNamed(const std::string& name);
    [[nodiscard]] standins::Awaitable<void> append(standins::Exchange& exchange);
    [[nodiscard]] standins::Awaitable<void> read(standins::Exchange& exchange);
    [[nodiscard]] standins::Awaitable<void> newest(standins::Exchange& exchange);

    standins::Gate gate_;
    std::map<std::string, Topic> topics_;
    std::uint64_t appends_ = 0;
    std::uint64_t reads_ = 0;
    unsigned turnAway_ = 0;
    OddKeys oddKeys_ = OddKeys::Replaced;
};

} // namespace swiftlift::platform::standin
