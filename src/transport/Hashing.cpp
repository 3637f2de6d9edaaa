#include "swiftlift/transport/Hashing.h"

#include <array>
#include <cstring>
#include <memory>

#include <openssl/evp.h>
#include <xxhash.h>

namespace swiftlift::transport {

RequestKey requestKey(const AccountId& account, const CallerRequestId& id)
{
    std::string text = account.value();
    text.push_back('\0');
    text += id.value();
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return { hash.high64, hash.low64 };
}

std::string toHex(const RequestKey& key) { return toHex(key.high) + toHex(key.low); }

std::string keyHash(std::string_view bearerKey)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned length = 0;
    if (EVP_Digest(bearerKey.data(), bearerKey.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1) {
        return {};
    }
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (unsigned place = 0; place < length; ++place) {
        text.push_back(digits[digest[place] >> 4U]);
        text.push_back(digits[digest[place] & 0xFU]);
    }
    return text;
}

std::optional<ContentDigest> contentDigest(
    std::string_view method, std::string_view host, std::string_view target, std::string_view body)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    bool valid = context && EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1;
    const auto add = [&](std::string_view part) {
        // The length before each part distinguishes requests whose parts differ but have the same concatenation.
        const std::uint64_t length = part.size();
        valid = valid && EVP_DigestUpdate(context.get(), &length, sizeof length) == 1
            && EVP_DigestUpdate(context.get(), part.data(), part.size()) == 1;
    };
    add(method);
    add(host);
    add(target);
    add(body);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    if (!valid || EVP_DigestFinal_ex(context.get(), digest.data(), nullptr) != 1) {
        return std::nullopt;
    }
    ContentDigest content;
    std::memcpy(&content.high, digest.data(), sizeof content.high);
    std::memcpy(&content.low, digest.data() + sizeof content.high, sizeof content.low);
    return content;
}

std::uint64_t prefixHash(std::string_view prompt) noexcept
{
    const std::string_view prefix = prompt.substr(0, prefixBytes);
    return XXH64(prefix.data(), prefix.size(), 0);
}

Tokens promptTokens(std::string_view prompt) noexcept
{
    constexpr std::size_t bytesPerToken = 4;
    return Tokens(static_cast<std::int64_t>((prompt.size() + bytesPerToken - 1) / bytesPerToken));
}

} // namespace swiftlift::transport
