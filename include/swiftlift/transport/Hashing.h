#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Numbers.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::transport {

/** Bytes of a prompt that count as its prefix. */
inline constexpr std::size_t prefixBytes = 256;

/** @return The request's key: xxh128 of account, a zero byte and the caller's id. */
[[nodiscard]] RequestKey requestKey(const AccountId& account, const CallerRequestId& id);

/** @return The key as 32 hexadecimal digits. */
[[nodiscard]] std::string toHex(const RequestKey& key);

using swiftlift::toHex;

/** @return SHA-256 of a client account's key, in hex; empty when the library fails. */
[[nodiscard]] std::string keyHash(std::string_view bearerKey);

/**
 * Nobody can make another request that has the same digest, so nobody can pass for another's request.
 * @return Digest of a request's method, host, path with query, and body; nothing when the library fails.
 */
[[nodiscard]] std::optional<ContentDigest> contentDigest(
    std::string_view method, std::string_view host, std::string_view target, std::string_view body);

/** @return xxh64 of the prompt's first bytes. */
[[nodiscard]] std::uint64_t prefixHash(std::string_view prompt) noexcept;

/** @return Tokens that a prompt counts as: a quarter of its bytes, rounded up. */
[[nodiscard]] Tokens promptTokens(std::string_view prompt) noexcept;

} // namespace swiftlift::transport
