#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

namespace swiftlift::transport::internal {

/**
 * @brief A message body that is parsed into a string.
 *
 * Beast's `string_body` reserves the memory of the whole body when it reads a Content-Length. A backend server that
 * announces an extremely large length would end the process with `std::bad_alloc`.
 */
struct TextBody {
    using value_type = std::string;

    // Beast prescribes the name.
    class reader { // NOLINT(readability-identifier-naming)
    public:
        template <bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields>& /*header*/, value_type& body)
            : body_(body)
        {
        }

        void init(const boost::optional<std::uint64_t>& /*length*/, boost::system::error_code& error) { error = {}; }

        template <typename Buffers> std::size_t put(const Buffers& buffers, boost::system::error_code& error)
        {
            error = {};
            std::size_t count = 0;
            for (auto part = boost::asio::buffer_sequence_begin(buffers);
                 part != boost::asio::buffer_sequence_end(buffers); ++part) {
                const boost::asio::const_buffer bytes(*part);
                body_.append(static_cast<const char*>(bytes.data()), bytes.size());
                count += bytes.size();
            }
            return count;
        }

        void finish(boost::system::error_code& error) { error = {}; }

    private:
        value_type& body_;
    };
};

} // namespace swiftlift::transport::internal
