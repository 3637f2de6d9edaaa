#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace swiftlift::platform::test {

/** An engine whose answers a test writes byte by byte. It reads the head of one request on each connection. */
class RawEngine {
public:
    /** A request of which only the head has been read. */
    struct Request {
        boost::asio::ip::tcp::socket& socket;
        std::string id;
        /** Whether it asks for the rest of a stream. */
        bool isTakeUp;
        /** Proof, in the header field Server-Stamp, that this engine has run the request. */
        std::string stamp;
        /** True when the engine is to end. */
        const std::atomic<bool>& ends;

        void write(const std::string& text) const;
        /** Resets the connection. */
        void reset() const;
    };
    using Answer = std::function<void(const Request&)>;

    /**
     * @param id Id in the engine's entry.
     * @param answer Answers a request; called in a thread for each connection, which is shut down afterwards.
     */
    RawEngine(std::string id, Answer answer);
    ~RawEngine();
    RawEngine(const RawEngine&) = delete;
    RawEngine& operator=(const RawEngine&) = delete;

    [[nodiscard]] std::string address() const;
    [[nodiscard]] const std::string& id() const noexcept { return id_; }
    [[nodiscard]] std::uint64_t requests() const { return requests_; }

private:
    void listen();
    void serve(boost::asio::ip::tcp::socket& socket);

    std::string id_;
    Answer answer_;
    std::atomic<bool> ends_ = false;
    std::atomic<std::uint64_t> requests_ = 0;
    boost::asio::io_context loop_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> connections_;
    std::vector<std::thread> threads_;
    std::thread listener_;
};

} // namespace swiftlift::platform::test
