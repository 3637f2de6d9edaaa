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
 * @brief Sends the schedule in one thread: a coroutine for each request, connections kept and used again.
 */
class Client {
public:
    explicit Client(const Options& options);

    /** @return A result for each arrival, in the order in which they ended. */
    [[nodiscard]] std::vector<Result> run(const std::vector<Arrival>& schedule);

private:
    using Clock = std::chrono::steady_clock;
    using Stream = boost::beast::tcp_stream;
    using StreamPtr = std::unique_ptr<Stream>;

    struct Idle {
        StreamPtr stream;
        Clock::time_point since;
    };
    using Pool = std::deque<Idle>;

    boost::asio::awaitable<void> sendAll(const std::vector<Arrival>& schedule);
    boost::asio::awaitable<void> sendOne(Arrival arrival);
    boost::asio::awaitable<void> exchange(const Arrival& arrival, Result& result);
    boost::asio::awaitable<StreamPtr> connection(const Target& target, Pool& pool);
    [[nodiscard]] const Target& targetOf(const Arrival& arrival) const;
    [[nodiscard]] Pool& poolOf(const Arrival& arrival);
    [[nodiscard]] Clock::time_point scheduled(const Arrival& arrival) const { return start_ + arrival.due; }

    const Options& options_;
    boost::asio::io_context context_;
    std::vector<Pool> routerPools_;
    std::vector<Pool> enginePools_;
    std::vector<Result> results_;
    Clock::time_point start_;
};

} // namespace swiftlift::load
