#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace swiftlift::transport {

/** A header field of a message, as it came. */
struct HeaderField {
    std::string name;
    std::string value;

    [[nodiscard]] bool operator==(const HeaderField&) const = default;
};

using HeaderFields = std::vector<HeaderField>;

/** What comes before a request's body. */
struct RequestHead {
    std::string method;
    std::string target;
    HeaderFields fields;
};

/** What comes before an answer's body. */
struct AnswerHead {
    int status = 0;
    HeaderFields fields;
};

/** @return Whether the two names are the same; the case of letters doesn't matter. */
[[nodiscard]] bool sameName(std::string_view left, std::string_view right) noexcept;

/** @return The value of the first field of that name; nothing when there is none. */
[[nodiscard]] std::optional<std::string_view> valueOf(const HeaderFields& fields, std::string_view name) noexcept;

/** @return How many fields have that name. */
[[nodiscard]] std::size_t countOf(const HeaderFields& fields, std::string_view name) noexcept;

/** @return The fields that concern the message and not only the connection it came on. */
[[nodiscard]] HeaderFields endToEnd(const HeaderFields& fields);

} // namespace swiftlift::transport
