#pragma once

#include <cstdint>

namespace swiftlift::wire::internal {

/** Unit of the tokens in messages on backend servers' loads. Smaller differences change no choice of a server. */
inline constexpr std::int64_t tokensPerLoadUnit = 64;

} // namespace swiftlift::wire::internal
