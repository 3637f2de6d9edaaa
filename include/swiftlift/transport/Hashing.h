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

/** Length of the prompt prefix that prefixHash() covers. */
inline constexpr std::size_t prefixBytes = 256;

/** @return The request's key: xxh128 of the account, a zero byte and the caller's request id. */
[[nodiscard]] RequestKey requestKey(const AccountId& account, const CallerRequestId& id);

/** @return The key as 32 hexadecimal digits. */
[[nodiscard]] std::string toHex(const RequestKey& key);

using swiftlift::toHex;

/** @return SHA-256 of a client account's key, in hex; empty if the library reports an error. */
[[nodiscard]] std::string keyHash(std::string_view bearerKey);

/**
 * The hash is collision-resistant, so that no caller can forge a request with the digest of another one.
 * @return Digest of a request's method, host, path with query, and body; empty if the library reports an error.
 */
[[nodiscard]] std::optional<ContentDigest> contentDigest(
    std::string_view method, std::string_view host, std::string_view target, std::string_view body);

/** @return xxh64 of the prompt's first `prefixBytes` bytes. */
[[nodiscard]] std::uint64_t prefixHash(std::string_view prompt) noexcept;

/** @return Estimated number of tokens in a prompt: a quarter of its bytes, rounded up. */
[[nodiscard]] Tokens promptTokens(std::string_view prompt) noexcept;

} // namespace swiftlift::transport
