#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>

#include "swiftlift/node/Event.h"

namespace swiftlift::transport {

/** Counts a router's calls to the log by stream. Thread-safe. */
class LogCallCounter {
public:
    /**
     * @brief Counts a read.
     * @param stream Stream that was read.
     * @param bytes Bytes of the answer, without its head; nullopt: there was none, or it could not be used.
     * @param took How long the read was under way.
     */
    void noteRead(const StreamName& stream, std::optional<std::uint64_t> bytes, Duration took);
    /**
     * @brief Counts an append.
     * @param stream Stream that was appended to.
     * @param bytes Bytes of the record.
     * @param succeeded Whether the log answered that it has the record.
     * @param took How long the append was under way.
     */
    void noteAppend(const StreamName& stream, std::uint64_t bytes, bool succeeded, Duration took);
    /** @return The calls since the previous take(); streams without calls are left out. */
    [[nodiscard]] node::LogCalls take();

private:
    [[nodiscard]] node::StreamCalls& callsOf(const StreamName& stream);

    std::mutex mutex_;
    std::map<StreamName, node::StreamCalls> calls_;
};

} // namespace swiftlift::transport
