#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "swiftlift/node/Event.h"

namespace swiftlift::transport::internal {

/** @return The VM list; `nullopt` if the text is malformed. Entries without a peer address are skipped. */
[[nodiscard]] std::optional<node::VmListRead> parseVmList(const std::string& text);

/** @return The load report; marked as unreachable if the text is not a JSON object. */
[[nodiscard]] node::BackendLoad parseLoad(const BackendId& backend, const std::string& text);

/** One page of an engine's cache events. */
struct CacheEventsPage {
    /** Sequence number from which the next page is to be requested. */
    std::uint64_t next = 0;
    std::vector<node::CacheEvent> events;
};

/** @return The page; `nullopt` if the text is malformed. Malformed events are skipped. */
[[nodiscard]] std::optional<CacheEventsPage> parseCacheEvents(const std::string& text);

/** @return A backend server's answer to an order; accepted if the HTTP status is 202. */
[[nodiscard]] node::OrderAnswered parseOrderAnswer(const BackendId& backend, int status, const std::string& text);

} // namespace swiftlift::transport::internal
