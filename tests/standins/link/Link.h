#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "link/Relay.h"

namespace swiftlift::standins {

/** What becomes of connections on a cut link. */
enum class CutMode {
    /** Bytes stop, and flow again after healing. */
    Drop,
    /** Connections are reset. */
    Reset,
    /** Bytes stop, and flow again after healing; attempts to connect are not answered. */
    Hang,
    /** Connections are reset; attempts to connect are refused. */
    Refuse,
    /** Connections go on; attempts to connect are refused. */
    KeepOld,
};

struct LinkAddresses {
    Tcp::endpoint listen;
    Tcp::endpoint to;
    /** Source address towards `to`. */
    std::optional<asio::ip::address> from;
};

/** A listening port whose connections are carried on to another address. */
class Link {
public:
    /** Listens at once. `mode` must outlive the link. */
    Link(asio::io_context& context, const LinkAddresses& addresses, const CutMode& mode);

    /** Starts to accept. */
    void start();
    /** Cuts both paths; resets the connections if that is the mode. */
    void cut();
    /** Cuts the path from the side that connects. */
    void cutForward();
    /** Cuts the path to the side that connects. */
    void cutBackward();
    void heal();
    void setDelay(Milliseconds delay) { state_->delay = delay; }
    [[nodiscard]] Json audit() const;

private:
    [[nodiscard]] Awaitable<void> accept();
    void startRelay(Tcp::socket socket);
    [[nodiscard]] bool isCut() const { return cut_; }
    /** Fills the queue of connections that wait to be accepted, so that the system drops further ones. */
    void stopAccepting();
    void acceptAgain();
    [[nodiscard]] bool refusesConnections() const { return mode_ == CutMode::Refuse || mode_ == CutMode::KeepOld; }

    asio::io_context& context_;
    LinkAddresses addresses_;
    /** Where it listens, also while it refuses connections. */
    Tcp::endpoint listening_;
    Tcp::acceptor acceptor_;
    const CutMode& mode_;
    std::shared_ptr<LinkState> state_ = std::make_shared<LinkState>();
    std::vector<std::weak_ptr<Relay>> relays_;
    std::uint64_t accepted_ = 0;
    bool cut_ = false;
    /** Connections to this link that fill its queue. */
    std::vector<Tcp::socket> fillers_;
};

} // namespace swiftlift::standins
