#pragma once

// Boost 1.74's awaitable.hpp uses std::exchange without including its header.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <nlohmann/json.hpp>

namespace swiftlift::standins {

namespace asio = boost::asio;
using Json = nlohmann::json;
using Tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::duration<double, std::milli>;
template <typename Value> using Awaitable = asio::awaitable<Value>;

/** @return The duration in the clock's own unit. */
[[nodiscard]] inline Clock::duration toClock(Milliseconds duration)
{
    return std::chrono::duration_cast<Clock::duration>(duration);
}

} // namespace swiftlift::standins
