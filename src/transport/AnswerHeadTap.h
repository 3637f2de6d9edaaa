#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/fields.hpp>

#include "swiftlift/transport/HeaderFields.h"

namespace swiftlift::transport::internal {

/** @return The status and the header fields of an answer. */
[[nodiscard]] AnswerHead makeAnswerHead(int status, const boost::beast::http::fields& fields);

/** Reads the head of the first answer in a stream of bytes that is passed on unchanged. */
class AnswerHeadTap {
public:
    /**
     * @brief Looks at the next bytes of the stream.
     * @return The head, once; nullopt: it is not complete, has been returned before, or can't be read.
     */
    [[nodiscard]] std::optional<AnswerHead> onBytes(std::string_view bytes);

private:
    std::string head_;
    /** The head has ended, or is too long. */
    bool done_ = false;
};

} // namespace swiftlift::transport::internal
