// Blocking HTTP/1.1 over loopback sockets, one thread a connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace fleetcase {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** Seconds since the program started. */
inline double now()
{
    static const auto begun = Clock::now();
    return std::chrono::duration<double>(Clock::now() - begun).count();
}

struct Address {
    std::string ip;
    std::uint16_t port = 0;
    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in toSocketAddress(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message {
    std::string firstLine;
    Headers headers;
    std::string body;

    /** @return The value of the first field with this name in lower case; empty: there is none. */
    [[nodiscard]] std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : headers) {
            if (key == name) {
                return value;
            }
        }
        return {};
    }
    [[nodiscard]] std::string word(std::size_t index) const
    {
        std::size_t begin = 0;
        for (; index > 0; --index) {
            begin = firstLine.find(' ', begin);
            if (begin == std::string::npos) {
                return {};
            }
            ++begin;
        }
        return firstLine.substr(begin, firstLine.find(' ', begin) - begin);
    }
};

/** A connected socket with a buffer of what was read and not used. */
class Connection {
public:
    explicit Connection(int descriptor)
        : descriptor_(descriptor)
    {
        const int on = 1;
        ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection()
    {
        if (descriptor_ >= 0) {
            ::close(descriptor_);
        }
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /** @return The connection; null: it could not be made. */
    static std::unique_ptr<Connection> open(const Address& to)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = toSocketAddress(to);
        if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            ::close(descriptor);
            return nullptr;
        }
        return std::make_unique<Connection>(descriptor);
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

    /** @return Whether a message was read before the deadline; the body of an answer without a length isn't read. */
    bool read(Message& message, Clock::time_point deadline)
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!more(deadline)) {
                return false;
            }
        }
        const std::string head = buffer_.substr(0, end + 2);
        buffer_.erase(0, end + 4);
        message = {};
        std::size_t position = head.find("\r\n");
        message.firstLine = head.substr(0, position);
        for (position += 2; position < head.size();) {
            const auto lineEnd = head.find("\r\n", position);
            const std::string line = head.substr(position, lineEnd - position);
            position = lineEnd + 2;
            const auto colon = line.find(':');
            std::string name = line.substr(0, colon);
            std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(name, value == std::string::npos ? "" : line.substr(value));
        }
        if (message.header("transfer-encoding") == "chunked") {
            return readChunks(message.body, deadline);
        }
        const std::string length = message.header("content-length");
        return length.empty() || take(message.body, std::stoul(length), deadline);
    }

private:
    bool more(Clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
        pollfd ready { descriptor_, POLLIN, 0 };
        if (left <= 0 || ::poll(&ready, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char bytes[16384];
        const auto count = ::recv(descriptor_, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    bool take(std::string& to, std::size_t count, Clock::time_point deadline)
    {
        while (buffer_.size() < count) {
            if (!more(deadline)) {
                return false;
            }
        }
        to += buffer_.substr(0, count);
        buffer_.erase(0, count);
        return true;
    }
    bool readChunks(std::string& to, Clock::time_point deadline)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = buffer_.find("\r\n")) == std::string::npos) {
                if (!more(deadline)) {
                    return false;
                }
            }
            const std::size_t size = std::stoul(buffer_.substr(0, end), nullptr, 16);
            buffer_.erase(0, end + 2);
            std::string chunk;
            if (!take(chunk, size + 2, deadline)) {
                return false;
            }
            if (size == 0) {
                return true;
            }
            to += chunk.substr(0, size);
        }
    }

    int descriptor_;
    std::string buffer_;
};

/** Accepts connections on an address and serves each in a thread of its own, until the process ends. */
class Listener {
public:
    using Serve = std::function<void(Connection&)>;

    /** @param address Port 0: a free one is taken. */
    Listener(const Address& address, Serve serve)
        : address_(address)
        , serve_(std::move(serve))
    {
        descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in bound = toSocketAddress(address_);
        if (::bind(descriptor_, reinterpret_cast<const sockaddr*>(&bound), sizeof bound) != 0
            || ::listen(descriptor_, 512) != 0) {
            throw std::runtime_error("can't listen on " + address_.text());
        }
        socklen_t size = sizeof bound;
        ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&bound), &size);
        address_.port = ntohs(bound.sin_port);
        std::thread([this] { run(); }).detach();
    }

    [[nodiscard]] const Address& address() const { return address_; }

private:
    void run()
    {
        for (;;) {
            const int accepted = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                std::this_thread::sleep_for(Milliseconds(10));
                continue;
            }
            std::thread([this, accepted] {
                Connection connection(accepted);
                try {
                    serve_(connection);
                } catch (const std::exception&) {
                    // What can't be read ends the connection.
                }
            }).detach();
        }
    }

    Address address_;
    Serve serve_;
    int descriptor_ = -1;
};

inline std::string answerText(int status, const std::string& type, const Headers& headers, const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: " + type + "\r\n";
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace fleetcase
