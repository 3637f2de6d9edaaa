#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "transport/AnswerHeadTap.h"
#include "transport/Deadline.h"
#include "transport/ReadPacer.h"
#include "transport/RelayText.h"
#include "transport/StreamContext.h"

namespace swiftlift::transport::internal {

class RelayServer;

/** One connection of another router to a backend server. */
class RelayConnection : public std::enable_shared_from_this<RelayConnection> {
public:
    RelayConnection(StreamContext& context, RelayServer& server, RelayId id, boost::asio::ip::tcp::socket router);

    /** Reads the request for a connection. */
    void start();
    /** Connects to the backend server and then relays bytes. */
    void connect(const BackendAddress& address);
    /** @param concernsServer Whether connections to other backend servers may be accepted. */
    void refuse(const std::string& reason, bool concernsServer);
    /** Closes both sides. */
    void close(const std::string& detail);

private:
    using ErrorCode = boost::system::error_code;
    using Socket = boost::asio::ip::tcp::socket;

    /** Bytes on their way from one side to the other. */
    class Direction;

    void requestReceived(const ErrorCode& error);
    void connected();
    void timedOut();
    /** Answers that no connection is made, and closes once that is written. */
    void answerAndClose(RelayAnswer answer);
    /** Ends a connection that could not be made. */
    void unreachable(const std::string& reason);
    /** Notes what a read from the backend server shows of it. */
    void backendRead(const ErrorCode& error, std::string_view bytes);
    /** One side has closed its connection; nothing more comes for `receiver`. */
    void senderEnded(Socket& receiver);
    /** Passes the end of the answer on to the router, in order or with a reset. */
    void passEndOn();
    /** Bytes of the request were written to the backend server, or could not be. @return Whether more can follow. */
    [[nodiscard]] bool requestWritten(const ErrorCode& error);

    StreamContext& context_;
    RelayServer& server_;
    RelayId id_;
    Socket router_;
    Socket backend_;
    Deadline deadline_;
    std::string request_;
    std::string answer_;
    std::shared_ptr<Direction> toBackend_;
    std::shared_ptr<Direction> toRouter_;
    std::uint64_t bytes_ = 0;
    BackendId backendId_;
    AnswerHeadTap answerHead_;
    node::ConnectFailure failure_ = node::ConnectFailure::None;
    /** Something has arrived from the backend server. */
    bool backendHeard_ = false;
    bool requested_ = false;
    /** The request could not be written to the end, because the backend server has closed or reset the connection. */
    bool requestCut_ = false;
    /** Bytes of the request are being written to the backend server. */
    bool writingRequest_ = false;
    /** The backend server has closed its side in order, as far as is known. */
    bool answerEnded_ = false;
    /** The core has accepted the connection, and it is being made. */
    bool connecting_ = false;
    bool closed_ = false;
};

} // namespace swiftlift::transport::internal
