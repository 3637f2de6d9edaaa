#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "swiftlift/node/Event.h"

namespace swiftlift::transport::internal {

/** @return The VM list; nothing when the text is none. */
[[nodiscard]] std::optional<node::VmListRead> parseVmList(const std::string& text);

/** @return The report; unreachable when the text is none. */
[[nodiscard]] node::BackendLoad parseLoad(const BackendId& backend, const std::string& text);

struct CacheEventsPage {
    std::uint64_t next = 0;
    std::vector<node::CacheEvent> events;
};

/** @return The events; nothing when the text is none. */
[[nodiscard]] std::optional<CacheEventsPage> parseCacheEvents(const std::string& text);

/** @return The answer to an order. */
[[nodiscard]] node::OrderAnswered parseOrderAnswer(const BackendId& backend, int status, const std::string& text);

} // namespace swiftlift::transport::internal
