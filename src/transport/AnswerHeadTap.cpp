#include "transport/AnswerHeadTap.h"

#include <cstddef>

#include <boost/beast/http.hpp>

#include "transport/HeadParsing.h"
#include "transport/HttpText.h"

namespace swiftlift::transport::internal {

namespace http = boost::beast::http;

namespace {

    constexpr std::string_view endOfHead = "\r\n\r\n";
    constexpr std::size_t maxHeadBytes = 16 * 1024;

    std::optional<AnswerHead> parseAnswerHead(std::string_view text)
    {
        http::response_parser<http::empty_body> parser;
        parser.skip(true);
        if (!parseHead(parser, text) || !isStatus(parser.get().result_int())) {
            return std::nullopt;
        }
        return makeAnswerHead(static_cast<int>(parser.get().result_int()), parser.get());
    }

} // namespace

AnswerHead makeAnswerHead(int status, const http::fields& fields)
{
    AnswerHead head { status, {} };
    for (const auto& field : fields) {
        const auto name = field.name_string();
        const auto value = field.value();
        head.fields.push_back({ { name.data(), name.size() }, { value.data(), value.size() } });
    }
    return head;
}

std::optional<AnswerHead> AnswerHeadTap::onBytes(std::string_view bytes)
{
    if (done_) {
        return std::nullopt;
    }
    head_ += bytes.substr(0, maxHeadBytes - head_.size());
    const auto end = head_.find(endOfHead);
    done_ = end != std::string::npos || head_.size() >= maxHeadBytes;
    if (end == std::string::npos) {
        return std::nullopt;
    }
    return parseAnswerHead(std::string_view(head_).substr(0, end + endOfHead.size()));
}

} // namespace swiftlift::transport::internal
