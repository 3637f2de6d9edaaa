#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>

#include "link/Path.h"

namespace swiftlift::standins {

/** One connection through a link: carries bytes both ways, each chunk after the link's delay. */
class Relay : public std::enable_shared_from_this<Relay> {
public:
    Relay(std::shared_ptr<LinkState> link, Tcp::socket near);

    /**
     * @brief Connects to the far side, once neither path is cut, and carries bytes until both sides have ended.
     * @param to The far side.
     * @param from Source address of the connection, if it matters.
     */
    [[nodiscard]] Awaitable<void> run(Tcp::endpoint to, std::optional<asio::ip::address> from);

    /** Closes both sides with a reset. */
    void reset();

private:
    struct Direction;

    [[nodiscard]] Awaitable<void> connect(Tcp::endpoint to, std::optional<asio::ip::address> from);
    [[nodiscard]] Awaitable<void> receive(std::shared_ptr<Direction> direction);
    [[nodiscard]] Awaitable<void> send(std::shared_ptr<Direction> direction);
    /** Waits for the signal or the end of the relay. */
    [[nodiscard]] Awaitable<void> waitOpen(Signal& signal);
    [[nodiscard]] Awaitable<void> waitUncut(const Path& path);
    void startDirection(Tcp::socket& from, Tcp::socket& to, Path& path);

    std::shared_ptr<LinkState> link_;
    Tcp::socket near_;
    Tcp::socket far_;
    bool closed_ = false;
    Signal closing_;
};

} // namespace swiftlift::standins
