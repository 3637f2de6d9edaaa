#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <optional>
#include <string>
#include <thread>

/** Blocking HTTP/1.1 on loopback sockets, as far as the stand-ins of the review need it. */
namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

inline sockaddr_in addressOf(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/** A request or an answer. */
struct Message {
    /** First line: "POST /x HTTP/1.1" or "HTTP/1.1 200 OK". */
    std::string start;
    /** Names are in lower case. */
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string& name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string {} : found->second;
    }
    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const
    {
        const auto first = start.find(' ') + 1;
        return start.substr(first, start.find(' ', first) - first);
    }
    std::string path() const { return target().substr(0, target().find('?')); }
    std::string parameter(const std::string& name) const
    {
        const std::string text = target();
        auto at = text.find('?');
        while (at != std::string::npos) {
            const auto end = text.find('&', at + 1);
            const std::string pair = text.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            if (pair.rfind(name + "=", 0) == 0) {
                return pair.substr(name.size() + 1);
            }
            at = end;
        }
        return {};
    }
};

/** A connected socket with the bytes that were read ahead. */
class Connection {
public:
    explicit Connection(int descriptor)
        : descriptor_(descriptor)
    {
        const int on = 1;
        setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    int descriptor() const { return descriptor_; }

    void close()
    {
        if (descriptor_ >= 0) {
            ::close(descriptor_);
        }
        descriptor_ = -1;
    }

    bool write(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto count = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /** Reads at most `most` bytes into the buffer. @return Whether bytes came. */
    bool readSome(std::size_t most, milliseconds wait)
    {
        pollfd item { descriptor_, POLLIN, 0 };
        if (::poll(&item, 1, static_cast<int>(wait.count())) <= 0) {
            timedOut_ = true;
            return false;
        }
        timedOut_ = false;
        std::string bytes(most, '\0');
        const auto count = ::recv(descriptor_, bytes.data(), most, 0);
        if (count <= 0) {
            return false;
        }
        buffer_.append(bytes, 0, static_cast<std::size_t>(count));
        return true;
    }

    bool timedOut() const { return timedOut_; }
    std::string& buffer() { return buffer_; }

    /** @return True if the peer has closed or reset the connection. */
    bool peerGone() const
    {
        char byte = 0;
        const auto count = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /** Reads a head, and the body of a message with a length or in chunks. */
    std::optional<Message> readMessage(milliseconds wait = milliseconds(60'000), bool headOnly = false)
    {
        const auto until = Clock::now() + wait;
        const auto left
            = [&] { return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(until - Clock::now())); };
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!readSome(16384, left())) {
                return std::nullopt;
            }
        }
        Message message;
        std::string head = buffer_.substr(0, end + 2);
        buffer_.erase(0, end + 4);
        std::size_t line = head.find("\r\n");
        message.start = head.substr(0, line);
        for (std::size_t at = line + 2; at < head.size();) {
            line = head.find("\r\n", at);
            const std::string text = head.substr(at, line - at);
            const auto colon = text.find(':');
            auto value = colon == std::string::npos ? std::string::npos : text.find_first_not_of(' ', colon + 1);
            message.fields[lower(text.substr(0, colon))] = value == std::string::npos ? "" : text.substr(value);
            at = line + 2;
        }
        if (headOnly) {
            return message;
        }
        if (lower(message.field("transfer-encoding")) == "chunked") {
            for (;;) {
                while ((end = buffer_.find("\r\n")) == std::string::npos) {
                    if (!readSome(16384, left())) {
                        return std::nullopt;
                    }
                }
                const auto size = std::strtoul(buffer_.c_str(), nullptr, 16);
                while (buffer_.size() < end + 2 + size + 2) {
                    if (!readSome(16384, left())) {
                        return std::nullopt;
                    }
                }
                message.body += buffer_.substr(end + 2, size);
                buffer_.erase(0, end + 2 + size + 2);
                if (size == 0) {
                    return message;
                }
            }
        }
        const std::size_t length = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
        while (buffer_.size() < length) {
            if (!readSome(65536, left())) {
                return std::nullopt;
            }
        }
        message.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return message;
    }

private:
    int descriptor_;
    bool timedOut_ = false;
    std::string buffer_;
};

/** @return A listening socket; its port is chosen by the system if `port` is 0, and returned in `port`. */
inline int listenOn(const std::string& ip, std::uint16_t& port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = addressOf(ip, port);
    if (::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0
        || ::listen(descriptor, 512) != 0) {
        ::close(descriptor);
        return -1;
    }
    socklen_t size = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return descriptor;
}

/** @param receiveBytes Size of the receive buffer; 0: the system's. @return -1 on failure. */
inline int connectTo(const std::string& ip, std::uint16_t port, int receiveBytes = 0)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBytes > 0) {
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
    }
    const sockaddr_in address = addressOf(ip, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

inline std::string answerText(const std::string& status, const std::string& fields, const std::string& body,
    const char* type = "application/json")
{
    return "HTTP/1.1 " + status + "\r\nContent-Type: " + type + "\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace review
