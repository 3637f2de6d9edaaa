#pragma once

#include <chrono>
#include <cstddef>
#include <iterator>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "swiftlift/base/Ids.h"

namespace swiftlift::transport::internal {

/** Limits on the number of idle connections. */
struct IdleLimits {
    std::size_t perBackend = 0;
    /** For all backend servers together. */
    std::size_t total = 0;
};

/**
 * @brief The idle connections to all backend servers, in the order in which they became idle.
 *
 * Has no I/O, and the time is passed in.
 *
 * @tparam Connection Handle of a connection; copyable and comparable.
 */
template <typename Connection> class IdleConnections {
public:
    using Clock = std::chrono::steady_clock;

    explicit IdleConnections(IdleLimits limits)
        : limits_(limits)
    {
    }

    /**
     * @brief Adds a connection that becomes idle now.
     * @param idleLimit Maximum time for which it is kept.
     * @return The connection that must be closed in its place: the one that has been idle for longest, of this backend
     * server or of all, if a limit is exceeded.
     */
    [[nodiscard]] std::optional<Connection> add(
        const BackendId& backend, Connection connection, Clock::time_point now, Clock::duration idleLimit)
    {
        entries_.push_back({ backend, std::move(connection), now, now + idleLimit });
        auto& own = byBackend_[backend];
        own.push_back(std::prev(entries_.end()));
        if (own.size() > limits_.perBackend) {
            return remove(own.front());
        }
        return entries_.size() > limits_.total ? std::optional(remove(entries_.begin())) : std::nullopt;
    }

    /**
     * @brief Removes the connection that became idle last, so that surplus ones reach their time limit.
     * @param maxAge Maximum time since it became idle.
     * @return The connection; nullopt: there is none, or it has been idle for longer than `maxAge` or its time limit.
     */
    [[nodiscard]] std::optional<Connection> take(
        const BackendId& backend, Clock::time_point now, std::optional<Clock::duration> maxAge)
    {
        const auto found = byBackend_.find(backend);
        if (found == byBackend_.end()) {
            return std::nullopt;
        }
        const Place newest = found->second.back();
        if (now >= newest->until || (maxAge && now - newest->since > *maxAge)) {
            return std::nullopt;
        }
        return remove(newest);
    }

    /** @brief Removes the connections that have reached their time limit. @return Them. */
    [[nodiscard]] std::vector<Connection> expire(Clock::time_point now)
    {
        std::vector<Connection> expired;
        for (auto place = entries_.begin(); place != entries_.end();) {
            const Place current = place++;
            if (now >= current->until) {
                expired.push_back(remove(current));
            }
        }
        return expired;
    }

    /** Removes a connection, if it is idle. */
    void drop(const BackendId& backend, const Connection& connection)
    {
        const auto found = byBackend_.find(backend);
        if (found == byBackend_.end()) {
            return;
        }
        for (const Place place : found->second) {
            if (place->connection == connection) {
                remove(place);
                return;
            }
        }
    }

    /** @brief Removes all connections. @return Them. */
    [[nodiscard]] std::vector<Connection> clear()
    {
        std::vector<Connection> all;
        for (auto& entry : entries_) {
            all.push_back(std::move(entry.connection));
        }
        entries_.clear();
        byBackend_.clear();
        return all;
    }

    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

private:
    struct Entry {
        BackendId backend;
        Connection connection;
        Clock::time_point since;
        Clock::time_point until;
    };
    using Place = typename std::list<Entry>::iterator;

    Connection remove(Place place)
    {
        const auto found = byBackend_.find(place->backend);
        std::erase(found->second, place);
        if (found->second.empty()) {
            byBackend_.erase(found);
        }
        Connection connection = std::move(place->connection);
        entries_.erase(place);
        return connection;
    }

    IdleLimits limits_;
    std::list<Entry> entries_;
    std::unordered_map<BackendId, std::vector<Place>> byBackend_;
};

} // namespace swiftlift::transport::internal
