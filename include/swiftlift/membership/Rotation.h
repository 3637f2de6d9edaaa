#pragma once

#include <cstddef>
#include <deque>
#include <random>
#include <set>
#include <vector>

#include "swiftlift/base/Ids.h"

namespace swiftlift::membership {

/** @brief Round-robin order of addresses, random per router. */
class Rotation {
public:
    /**
     * @brief Inserts new addresses at random positions and removes addresses that are no longer given.
     * @param addresses All addresses of the rotation.
     * @param random Source of the positions.
     */
    void assign(const std::set<PeerAddress>& addresses, std::mt19937_64& random);

    /**
     * @brief Moves the returned addresses to the end of the order.
     * @return The next addresses, at most `count`, each at most once.
     */
    [[nodiscard]] std::vector<PeerAddress> next(std::size_t count);

    /** @return Number of addresses. */
    [[nodiscard]] std::size_t size() const noexcept { return order_.size(); }

private:
    std::deque<PeerAddress> order_;
};

} // namespace swiftlift::membership
