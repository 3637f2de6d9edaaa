#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include <boost/asio/ip/tcp.hpp>

#include "swiftlift/routing/Announcement.h"
#include "swiftlift/transport/HeaderFields.h"
#include "transport/StreamContext.h"

namespace swiftlift::transport::internal {

class RelayConnection;

/** Reads what a backend server states about itself in an answer's head. */
using ReadAnnouncement = std::function<routing::Announcement(const AnswerHead&)>;

/**
 * @brief Relays other routers' connections to backend servers as byte streams.
 *
 * The core decides on each connection. A relay only connects to backend servers, never to another relay. It reads what
 * servers state about themselves: a server that asks for rest sees this router's address, not the other router's.
 */
class RelayServer {
public:
    RelayServer(StreamContext& context, ReadAnnouncement readAnnouncement);
    ~RelayServer();
    RelayServer(const RelayServer&) = delete;
    RelayServer& operator=(const RelayServer&) = delete;

    /** Accepts a connection of another router. */
    void accept(boost::asio::ip::tcp::socket socket);
    void execute(node::AnswerRelay&& answer);
    void closeAll();
    /** @return Number of connections, those included that the core has not decided on. */
    [[nodiscard]] std::size_t size() const noexcept { return connections_.size(); }

    [[nodiscard]] routing::Announcement announcementIn(const AnswerHead& head) const { return readAnnouncement_(head); }
    /** Removes a connection that has ended. */
    void onEnded(RelayId relay);

private:
    /** Connections of other routers that are open at once; further ones are closed unread. */
    static constexpr std::size_t maxConnections = 256;

    StreamContext& context_;
    ReadAnnouncement readAnnouncement_;
    std::uint64_t lastNumber_ = 0;
    std::unordered_map<RelayId, std::shared_ptr<RelayConnection>> connections_;
};

} // namespace swiftlift::transport::internal
