#include "transport/ProxyText.h"

#include <boost/beast/http.hpp>

namespace swiftlift::transport::internal {

namespace {

    void addField(std::string& text, std::string_view name, std::string_view value)
    {
        text.append(name).append(": ").append(value).append("\r\n");
    }

    void addFields(std::string& text, const HeaderFields& fields)
    {
        for (const HeaderField& field : fields) {
            addField(text, field.name, field.value);
        }
    }

} // namespace

std::string requestText(
    std::string_view method, std::string_view target, const HeaderFields& fields, std::string_view body)
{
    std::string text;
    text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    addFields(text, fields);
    const bool hasContentLength = !body.empty() || (method != "GET" && method != "HEAD");
    if (hasContentLength) {
        addField(text, "Content-Length", std::to_string(body.size()));
    }
    text.append("\r\n").append(body);
    return text;
}

std::string answerHeadText(const AnswerHead& head, Framing framing, std::size_t length, bool keepAlive)
{
    const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(head.status));
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " ";
    text.append(reason.data(), reason.size()).append("\r\n");
    addFields(text, endToEnd(head.fields));
    if (framing == Framing::Length) {
        addField(text, "Content-Length", std::to_string(length));
    } else if (framing == Framing::Chunks) {
        addField(text, "Transfer-Encoding", "chunked");
    }
    if (!keepAlive) {
        addField(text, "Connection", "close");
    }
    return text.append("\r\n");
}

} // namespace swiftlift::transport::internal
