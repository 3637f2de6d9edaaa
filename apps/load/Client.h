#pragma once

// Boost 1.74's awaitable.hpp uses std::exchange without including it.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <deque>
#include <memory>
#include <vector>

#include "load/Options.h"
#include "load/Result.h"
#include "load/Schedule.h"

namespace swiftlift::load {

/**
 * @brief Sends the scheduled requests from one thread, one coroutine per request, and reuses idle connections.
 */
class Client {
public:
    explicit Client(const Options& options);

    /** @return One result per arrival, in the order in which the requests ended. */
    [[nodiscard]] std::vector<Result> run(const std::vector<Arrival>& schedule);

private:
    using Clock = std::chrono::steady_clock;
    using Stream = boost::beast::tcp_stream;
    using StreamPtr = std::unique_ptr<Stream>;

    struct IdleConnection {
        StreamPtr stream;
        Clock::time_point idleSince;
    };
    using Pool = std::deque<IdleConnection>;

    boost::asio::awaitable<void> sendAll(const std::vector<Arrival>& schedule);
    boost::asio::awaitable<void> sendOne(Arrival arrival);
    /** @brief Sends one request and reads its response into the result. Throws system_error if the connection fails. */
    boost::asio::awaitable<void> exchange(const Arrival& arrival, Result& result);
    /** @return An idle connection from the pool, or a new one. */
    boost::asio::awaitable<StreamPtr> acquireConnection(const Target& target, Pool& pool);
    [[nodiscard]] const Target& targetOf(const Arrival& arrival) const;
    [[nodiscard]] Pool& poolOf(const Arrival& arrival);
    [[nodiscard]] Clock::time_point scheduledTime(const Arrival& arrival) const { return start_ + arrival.due; }

    const Options& options_;
    boost::asio::io_context context_;
    std::vector<Pool> routerPools_;
    std::vector<Pool> enginePools_;
    std::vector<Result> results_;
    Clock::time_point start_;
};

} // namespace swiftlift::load
