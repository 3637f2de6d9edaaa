#pragma once

#include <cstddef>
#include <deque>
#include <random>
#include <set>
#include <vector>

#include "swiftlift/base/Ids.h"

namespace swiftlift::membership {

/** @brief Addresses taken in turn, a few at a time; the order differs from router to router. */
class Rotation {
public:
    /** @brief Takes in new addresses at random places, and leaves out those that are gone. */
    void assign(const std::set<PeerAddress>& addresses, std::mt19937_64& random);

    /** @return The next ones in turn, at most `count` and none twice. */
    [[nodiscard]] std::vector<PeerAddress> next(std::size_t count);

    [[nodiscard]] std::size_t size() const noexcept { return order_.size(); }

private:
    std::deque<PeerAddress> order_;
};

} // namespace swiftlift::membership
