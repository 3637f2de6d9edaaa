#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "platform/PlatformFleet.h"

namespace swiftlift::platform::test {

/** @return The value of a field of a message's head, as part of `head`; empty: there is none. */
[[nodiscard]] std::string_view fieldOf(std::string_view head, std::string_view name);

/** What a caller received of one answer. */
struct SeenAnswer {
    /** HTTP status; 0: the connection ended without an answer. */
    unsigned status = 0;
    /** Body without its framing, also of an answer that is not complete. */
    std::string body;
    /** Whether the framing, or the orderly end of the connection, marks the answer as complete. */
    bool whole = false;
    /** How the connection ended; empty: it is still open. */
    std::string end;
};

/** How a caller sends its requests and reads the answers. */
struct ReadingStyle {
    /** HTTP/1.0: answers end with their connection. */
    bool oldHttp = false;
    /** Most bytes that are read at once. */
    std::size_t readBytes = 65536;
    /** Pause after each read. */
    std::chrono::milliseconds pause { 0 };
    /** Size of the socket's receive buffer, in bytes; 0: the system's choice. */
    int receiveBuffer = 0;
    /** Silence after which the caller gives up and closes its connection. */
    std::chrono::milliseconds patience { 2500 };
};

/** A caller with one connection, which it keeps from one request to the next if the router does. */
class StreamCaller {
public:
    /** @param address Where the router listens for callers. */
    explicit StreamCaller(const std::string& address, ReadingStyle style = {});

    /** Sends the request, and connects first if there is no connection. @return What was received of its answer. */
    [[nodiscard]] SeenAnswer call(const CallerRequest& request);
    /** @return Number of connections made so far. */
    [[nodiscard]] std::size_t connections() const noexcept { return connections_; }

private:
    enum class Framing : std::uint8_t { Length, Chunks, Close };

    [[nodiscard]] bool connect();
    /** Reads more bytes. @return Whether there were any; otherwise the connection is closed. */
    [[nodiscard]] bool readMore(SeenAnswer& answer);
    void readHead(SeenAnswer& answer);
    void readBody(SeenAnswer& answer);
    /** Moves whole chunks and the parts of one from the received bytes to the body. @return Whether the last came. */
    [[nodiscard]] bool takeChunks(std::string& body);
    void close(SeenAnswer& answer, std::string reason);

    boost::asio::ip::tcp::endpoint router_;
    ReadingStyle style_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
    std::string received_;
    Framing framing_ = Framing::Close;
    std::size_t length_ = 0;
    bool keepsConnection_ = false;
    /** Bytes of the current chunk, and of its end of line, that are still to come. */
    std::size_t chunkLeft_ = 0;
    std::size_t connections_ = 0;
};

/** A caller's stream, joined from the answers to its attempts, with all that breaks its order. */
class JoinedStream {
public:
    /** @param events Number of events of the whole stream. */
    explicit JoinedStream(std::uint64_t events)
        : events_(events)
    {
    }

    /**
     * @brief Checks that the answer goes on where the answers before it ended.
     * @param attempt Request id of the attempt.
     */
    void add(const SeenAnswer& answer, const std::string& attempt);
    /** @return Id of the last whole event; 0: there is none. */
    [[nodiscard]] std::uint64_t last() const noexcept { return last_; }
    [[nodiscard]] bool complete() const noexcept { return complete_; }
    /** @return What breaks the order, with the attempt. */
    [[nodiscard]] const std::vector<std::string>& faults() const noexcept { return faults_; }

private:
    void addEvent(std::string_view event, const std::string& attempt);

    std::uint64_t events_;
    std::uint64_t last_ = 0;
    std::string version_;
    bool complete_ = false;
    std::vector<std::string> faults_;
};

} // namespace swiftlift::platform::test
