#pragma once

#include <cstddef>

#include <boost/beast/http/error.hpp>

#include "transport/TextBody.h"

namespace swiftlift::transport::internal {

/**
 * @brief A `TextBody` of limited size.
 *
 * An eager Beast parser loses the error of its own body limit if bytes of the body follow the head in the same buffer.
 */
struct LimitedTextBody {
    using value_type = TextBody::value_type;

    static constexpr std::size_t maxBytes = 8 * 1024 * 1024;

    // Beast prescribes the name.
    class reader : public TextBody::reader { // NOLINT(readability-identifier-naming)
    public:
        template <bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields>& header, value_type& body)
            : TextBody::reader(header, body)
        {
        }

        template <typename Buffers> std::size_t put(const Buffers& buffers, boost::system::error_code& error)
        {
            const std::size_t count = TextBody::reader::put(buffers, error);
            size_ += count;
            if (size_ > maxBytes) {
                error = boost::beast::http::error::body_limit;
            }
            return count;
        }

    private:
        std::size_t size_ = 0;
    };
};

} // namespace swiftlift::transport::internal
