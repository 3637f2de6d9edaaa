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
 * @brief The attempts of a table that are under way.
 *
 * @tparam Running What the table keeps of one: its `attempt`, its `call`, and what it likes.
 */
template <typename Running> class RunningAttempts {
public:
    [[nodiscard]] bool contains(AttemptId id) const { return running_.contains(id); }
    [[nodiscard]] std::size_t size() const noexcept { return running_.size(); }
    [[nodiscard]] auto begin() noexcept { return running_.begin(); }
    [[nodiscard]] auto end() noexcept { return running_.end(); }

    void add(AttemptId id, Running running) { running_.emplace(id, std::move(running)); }

    /** @return The attempt; null when it has ended. */
    [[nodiscard]] Running* find(AttemptId id)
    {
        const auto found = running_.find(id);
        return found == running_.end() ? nullptr : &found->second;
    }

    /** @return The attempt, which is under way no more; nothing when it was not. */
    [[nodiscard]] std::optional<Running> take(AttemptId id)
    {
        auto taken = running_.extract(id);
        return taken ? std::optional(std::move(taken.mapped())) : std::nullopt;
    }

    /** Lets the call's attempt, if there is one, read on. */
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
