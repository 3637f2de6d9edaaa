#include "swiftlift/membership/Rotation.h"

#include <algorithm>

namespace swiftlift::membership {

void Rotation::assign(const std::set<PeerAddress>& addresses, std::mt19937_64& random)
{
    std::erase_if(order_, [&](const PeerAddress& address) { return !addresses.contains(address); });
    const std::set<PeerAddress> known(order_.begin(), order_.end());
    for (const PeerAddress& address : addresses) {
        if (known.contains(address)) {
            continue;
        }
        const auto place = static_cast<std::ptrdiff_t>(random() % (order_.size() + 1));
        order_.insert(order_.begin() + place, address);
    }
}

std::vector<PeerAddress> Rotation::next(std::size_t count)
{
    std::vector<PeerAddress> taken;
    const std::size_t takenCount = std::min(count, order_.size());
    for (std::size_t i = 0; i < takenCount; ++i) {
        taken.push_back(order_.front());
        order_.push_back(order_.front());
        order_.pop_front();
    }
    return taken;
}

} // namespace swiftlift::membership
