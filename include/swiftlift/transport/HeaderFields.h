#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace swiftlift::transport {

/** A header field of a message, as received. */
struct HeaderField {
    std::string name;
    std::string value;

    [[nodiscard]] bool operator==(const HeaderField&) const = default;
};

using HeaderFields = std::vector<HeaderField>;

/** Request line and header fields of a request. */
struct RequestHead {
    std::string method;
    std::string target;
    HeaderFields fields;
};

/** Status and header fields of an answer. */
struct AnswerHead {
    int status = 0;
    HeaderFields fields;
};

/** @return Whether the two names are equal, ignoring case. */
[[nodiscard]] bool sameName(std::string_view left, std::string_view right) noexcept;

/** @return The value of the first field with the name; empty if there is none. */
[[nodiscard]] std::optional<std::string_view> valueOf(const HeaderFields& fields, std::string_view name) noexcept;

/** @return The number of fields with the name. */
[[nodiscard]] std::size_t countOf(const HeaderFields& fields, std::string_view name) noexcept;

/** @return Whether the text consists of visible ASCII characters, at least one, so that a field's value can hold it. */
[[nodiscard]] bool isVisibleText(std::string_view text) noexcept;

/** @return The end-to-end fields: `fields` without the hop-by-hop fields. */
[[nodiscard]] HeaderFields endToEnd(const HeaderFields& fields);

} // namespace swiftlift::transport
