#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace swiftlift::transport::internal {

/**
 * @brief Makes the operating system detect a peer that vanished without closing the connection, within 3 s.
 *
 * Without it, the system would wait for hours.
 */
void detectDeadPeer(boost::asio::ip::tcp::socket& socket);

/**
 * @brief Sets whether the connection ends with a reset when it is closed, also by the end of the process.
 *
 * Where an orderly end is the only proof that an answer is complete, the connection has to end with a reset until the
 * answer is. Bytes that are not sent yet are then lost.
 */
void resetOnClose(boost::asio::ip::tcp::socket& socket, bool reset);

} // namespace swiftlift::transport::internal
