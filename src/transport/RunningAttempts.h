#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

#include "transport/Attempt.h"

namespace swiftlift::transport::internal {

/**
 * @brief The running attempts of a table.
 *
 * @tparam Running The table's record of an attempt; has at least the members `attempt` and `call`.
 */
template <typename Running> class RunningAttempts {
public:
    [[nodiscard]] bool contains(AttemptId id) const { return running_.contains(id); }
    [[nodiscard]] std::size_t size() const noexcept { return running_.size(); }
    [[nodiscard]] auto begin() noexcept { return running_.begin(); }
    [[nodiscard]] auto end() noexcept { return running_.end(); }

    void add(AttemptId id, Running running) { running_.emplace(id, std::move(running)); }

    /** @return The record of the attempt; null if it is not running. */
    [[nodiscard]] Running* find(AttemptId id)
    {
        const auto found = running_.find(id);
        return found == running_.end() ? nullptr : &found->second;
    }

    /** @brief Removes an attempt. @return Its record; empty if it was not running. */
    [[nodiscard]] std::optional<Running> take(AttemptId id)
    {
        auto taken = running_.extract(id);
        return taken ? std::optional(std::move(taken.mapped())) : std::nullopt;
    }

    /** Resumes reading for the call's attempt, if one is running. */
    void resume(CallId call)
    {
        const auto found
            = std::ranges::find_if(running_, [&](const auto& entry) { return entry.second.call->id() == call; });
        if (found != running_.end()) {
            found->second.attempt->resume();
        }
    }

    void cancel(AttemptId id)
    {
        if (const auto running = take(id)) {
            running->attempt->cancel();
        }
    }

    void cancelAll()
    {
        for (const auto& [id, running] : std::exchange(running_, {})) {
            running.attempt->cancel();
        }
    }

private:
    std::unordered_map<AttemptId, Running> running_;
};

} // namespace swiftlift::transport::internal
