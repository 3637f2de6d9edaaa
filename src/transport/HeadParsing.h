#pragma once

#include <string_view>

#include <boost/asio/buffer.hpp>
#include <boost/system/error_code.hpp>

namespace swiftlift::transport::internal {

/** @return Whether the parser has read a whole head from the text. */
template <typename Parser> [[nodiscard]] bool parseHead(Parser& parser, std::string_view text)
{
    boost::system::error_code error;
    parser.put(boost::asio::buffer(text.data(), text.size()), error);
    return !error && parser.is_header_done();
}

} // namespace swiftlift::transport::internal
