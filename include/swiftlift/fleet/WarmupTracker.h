#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/fleet/BackendServer.h"

namespace swiftlift::fleet {

/**
 * @brief Until when each backend server is cold, as far as its entries show.
 *
 * A cold server bears few requests a second and crashes under many. Its entry may say so late, so a server counts as
 * cold from the first sight of a new instance on, and from the end of its domain's evacuation on, whatever its entry
 * says. A server that another entry calls warm meanwhile stays cold until its time is over: the entry may be older.
 */
class WarmupTracker {
public:
    /**
     * @brief Processes a server's entry.
     * @param server The entry.
     * @param warmup How long servers of its service stay cold after their start; zero: not known, or they are never
     * cold.
     * @param now When the entry was read.
     */
    void onEntry(const BackendServer& server, Duration warmup, Instant now);
    /** @brief Treats the server as cold for `warmup` from now on, at least. */
    void onTurnedCold(const BackendId& server, Duration warmup, Instant now);
    /** @brief Forgets a server whose entry was removed; the same instance is recognised when it returns. */
    void onRemoved(const BackendId& server);
    /** @brief From now on an instance that was never seen has just started; before that it may have run for long. */
    void onAllListed() noexcept { allListed_ = true; }

    /** @return Until when the server is cold; nothing if it is warm. */
    [[nodiscard]] std::optional<Instant> coldUntil(const BackendId& server, Instant now) const;

private:
    /** Number of removed servers whose instance is remembered. */
    static constexpr std::size_t maxRemoved = 4096;

    struct Known {
        /** Start time of the present instance; 0: not reported. */
        std::uint64_t startedAt = 0;
        Instant coldUntil {};
    };

    /** @return True if the entry belongs to an instance that has started since all servers were listed. */
    [[nodiscard]] bool hasJustStarted(const BackendServer& server) const;
    static void extend(Known& known, Instant until) noexcept;

    std::map<BackendId, Known> servers_;
    /** Servers whose entries were removed, with the start time of their last instance. */
    std::map<BackendId, std::uint64_t> removed_;
    /** The keys of `removed_`, in order of their removal. */
    std::deque<BackendId> removalOrder_;
    bool allListed_ = false;
};

} // namespace swiftlift::fleet
