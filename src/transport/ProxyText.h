#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "swiftlift/transport/HeaderFields.h"

namespace swiftlift::transport::internal {

/** How the end of an answer's body is marked: by Content-Length, chunked encoding or close of the connection. */
enum class Framing : std::uint8_t { Length, Chunks, Close };

/** @return The bytes of a request to a backend server. */
[[nodiscard]] std::string requestText(
    std::string_view method, std::string_view target, const HeaderFields& fields, std::string_view body);

/**
 * @param head Status and fields; hop-by-hop fields are left out.
 * @param framing How the end of the body is marked.
 * @param length Size of the body; used only with Framing::Length.
 * @return Status line and fields of an answer to a caller.
 */
[[nodiscard]] std::string answerHeadText(const AnswerHead& head, Framing framing, std::size_t length, bool keepAlive);

} // namespace swiftlift::transport::internal
