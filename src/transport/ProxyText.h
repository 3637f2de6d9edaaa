#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "swiftlift/transport/HeaderFields.h"

namespace swiftlift::transport::internal {

/** How the end of a body is told. */
enum class Framing : std::uint8_t { Length, Chunks, Close };

/** @return A request as it goes to a backend server. */
[[nodiscard]] std::string requestText(
    std::string_view method, std::string_view target, const HeaderFields& fields, std::string_view body);

/**
 * @param fields End-to-end fields only.
 * @param length Of the body; matters only where the framing tells it.
 * @return Status line and fields of an answer to a caller.
 */
[[nodiscard]] std::string answerHeadText(const AnswerHead& head, Framing framing, std::size_t length, bool keepAlive);

} // namespace swiftlift::transport::internal
