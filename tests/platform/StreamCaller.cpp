#include "platform/StreamCaller.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <thread>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <poll.h>

#include "common/HttpServer.h"

namespace swiftlift::platform::test {

namespace asio = boost::asio;

namespace {

    constexpr std::string_view endOfLine = "\r\n";
    constexpr std::string_view endOfHead = "\r\n\r\n";
    constexpr std::string_view endOfEvent = "\n\n";
    constexpr int hexadecimal = 16;

    std::size_t numberAt(std::string_view text, int base = 10)
    {
        std::size_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number, base);
        return number;
    }

    std::string textOf(const CallerRequest& request, bool oldHttp)
    {
        std::ostringstream text;
        text << "POST " << request.path << (oldHttp ? " HTTP/1.0" : " HTTP/1.1")
             << "\r\nHost: desk.example\r\nRequest-Id: " << request.id << "\r\nCredential: " << request.key
             << "\r\nDeadline-Ms: " << request.deadlineMs << "\r\nModel: m\r\nToken-Usage: " << request.tokens
             << "\r\nPrefix-Hash: " << request.prefix;
        if (!request.resumes.empty()) {
            text << "\r\nResumes: " << request.resumes;
        }
        if (!request.lastEvent.empty()) {
            text << "\r\nLast-Event-Id: " << request.lastEvent;
        }
        text << "\r\nContent-Length: " << request.body.size() << "\r\n\r\n" << request.body;
        return text.str();
    }

} // namespace

std::string_view fieldOf(std::string_view head, std::string_view name)
{
    const std::string start = std::string(endOfLine) + std::string(name) + ": ";
    const auto found = head.find(start);
    if (found == std::string_view::npos) {
        return {};
    }
    const std::string_view rest = head.substr(found + start.size());
    return rest.substr(0, rest.find(endOfLine));
}

StreamCaller::StreamCaller(const std::string& address, ReadingStyle style)
    : router_(standins::parseEndpoint(address))
    , style_(style)
    , socket_(context_)
{
}

bool StreamCaller::connect()
{
    received_.clear();
    boost::system::error_code error;
    socket_.open(router_.protocol(), error);
    if (style_.receiveBuffer > 0) {
        socket_.set_option(asio::socket_base::receive_buffer_size(style_.receiveBuffer), error);
    }
    socket_.connect(router_, error);
    ++connections_;
    return !error;
}

SeenAnswer StreamCaller::call(const CallerRequest& request)
{
    SeenAnswer answer;
    if (!socket_.is_open() && !connect()) {
        close(answer, "not connected");
        return answer;
    }
    boost::system::error_code error;
    asio::write(socket_, asio::buffer(textOf(request, style_.oldHttp)), error);
    if (error) {
        close(answer, error.message());
        return answer;
    }
    readHead(answer);
    if (answer.status != 0) {
        readBody(answer);
    }
    if (socket_.is_open() && !keepsConnection_) {
        close(answer, "closed by the caller");
    }
    return answer;
}

bool StreamCaller::readMore(SeenAnswer& answer)
{
    pollfd waiting { socket_.native_handle(), POLLIN, 0 };
    if (::poll(&waiting, 1, static_cast<int>(style_.patience.count())) == 0) {
        close(answer, "silent");
        return false;
    }
    std::string bytes(style_.readBytes, '\0');
    boost::system::error_code error;
    bytes.resize(socket_.read_some(asio::buffer(bytes), error));
    received_ += bytes;
    if (error) {
        close(answer, error == asio::error::eof ? "end" : error.message());
        return false;
    }
    if (style_.pause.count() > 0) {
        std::this_thread::sleep_for(style_.pause);
    }
    return true;
}

void StreamCaller::readHead(SeenAnswer& answer)
{
    while (received_.find(endOfHead) == std::string::npos) {
        if (!readMore(answer)) {
            return;
        }
    }
    const auto end = received_.find(endOfHead);
    const std::string head = received_.substr(0, end);
    received_.erase(0, end + endOfHead.size());
    answer.status = static_cast<unsigned>(numberAt(std::string_view(head).substr(head.find(' ') + 1)));
    const bool chunked = fieldOf(head, "Transfer-Encoding") == "chunked";
    const std::string_view length = fieldOf(head, "Content-Length");
    framing_ = chunked ? Framing::Chunks : length.empty() ? Framing::Close : Framing::Length;
    length_ = numberAt(length);
    chunkLeft_ = 0;
    keepsConnection_ = framing_ != Framing::Close && !style_.oldHttp && fieldOf(head, "Connection") != "close";
}

void StreamCaller::readBody(SeenAnswer& answer)
{
    while (true) {
        if (framing_ == Framing::Chunks) {
            answer.whole = takeChunks(answer.body);
        } else {
            const std::size_t part = framing_ == Framing::Close
                ? received_.size()
                : std::min(received_.size(), length_ - answer.body.size());
            answer.body += received_.substr(0, part);
            received_.erase(0, part);
            answer.whole = framing_ == Framing::Length && answer.body.size() == length_;
        }
        if (answer.whole) {
            return;
        }
        if (!readMore(answer)) {
            break;
        }
    }
    // What came with the end.
    if (framing_ == Framing::Chunks) {
        answer.whole = takeChunks(answer.body);
    } else if (framing_ == Framing::Close) {
        answer.body += std::exchange(received_, {});
        answer.whole = answer.end == "end";
    }
}

bool StreamCaller::takeChunks(std::string& body)
{
    while (!received_.empty()) {
        if (chunkLeft_ > endOfLine.size()) {
            const std::size_t part = std::min(received_.size(), chunkLeft_ - endOfLine.size());
            body += received_.substr(0, part);
            received_.erase(0, part);
            chunkLeft_ -= part;
        } else if (chunkLeft_ > 0) {
            const std::size_t part = std::min(received_.size(), chunkLeft_);
            received_.erase(0, part);
            chunkLeft_ -= part;
        } else {
            const auto line = received_.find(endOfLine);
            if (line == std::string::npos) {
                return false;
            }
            const std::size_t size = numberAt(received_, hexadecimal);
            if (size == 0) {
                const std::size_t last = line + endOfHead.size();
                if (received_.size() < last) {
                    return false;
                }
                received_.erase(0, last);
                return true;
            }
            received_.erase(0, line + endOfLine.size());
            chunkLeft_ = size + endOfLine.size();
        }
    }
    return false;
}

void StreamCaller::close(SeenAnswer& answer, std::string reason)
{
    answer.end = std::move(reason);
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void JoinedStream::add(const SeenAnswer& answer, const std::string& attempt)
{
    constexpr unsigned ok = 200;
    if (answer.status != ok) {
        return;
    }
    std::string_view rest = answer.body;
    for (auto end = rest.find(endOfEvent); end != std::string_view::npos; end = rest.find(endOfEvent)) {
        addEvent(rest.substr(0, end), attempt);
        rest.remove_prefix(end + endOfEvent.size());
    }
    if (!answer.whole) {
        return;
    }
    complete_ = true;
    if (!rest.empty()) {
        faults_.push_back(attempt + ": complete within an event");
    }
    if (last_ != events_) {
        faults_.push_back(attempt + ": complete after event " + std::to_string(last_));
    }
}

void JoinedStream::addEvent(std::string_view event, const std::string& attempt)
{
    std::istringstream text { std::string(event) };
    std::string idName;
    std::uint64_t id = 0;
    std::string dataName;
    std::string piece;
    std::string version;
    std::string of;
    std::string request;
    text >> idName >> id >> dataName >> piece >> version >> of >> request;
    if (idName != "id:" || dataName != "data:" || piece != "piece" || of != "of") {
        faults_.push_back(attempt + ": no event: " + std::string(event.substr(0, 60)));
        return;
    }
    if (id != last_ + 1) {
        faults_.push_back(attempt + ": event " + std::to_string(id) + " comes after " + std::to_string(last_));
    }
    if (request != attempt) {
        faults_.push_back(attempt + ": event of " + request);
    }
    if (!version_.empty() && version != version_) {
        faults_.push_back(attempt + ": event of " + version + " after " + version_);
    }
    version_ = version;
    last_ = id;
}

} // namespace swiftlift::platform::test
