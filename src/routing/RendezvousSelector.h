#pragma once

#include <string_view>
#include <vector>

#include "swiftlift/routing/Selector.h"

namespace swiftlift::routing {

/**
 * @brief Sends all requests with the same prefix to the same engine, from all routers, without communication between
 * routers.
 *
 * Meant for a few hundred prefixes, each requested every few seconds from the fleet but seldom from any one router: a
 * router that selected engines by its own traffic would find a prefix uncached almost every time. Each prefix orders
 * the engines by rendezvous hashing (Thaler and Ravishankar 1998); the first in the order is the prefix's home. The
 * loss of an engine moves only the prefixes whose home it is. An engine with many more requests in flight from this
 * router than the mean is skipped, so that one popular prefix can't overload it. A long prefix has one home in the
 * whole fleet, a short one a home in each failure domain, since prefilling it once more there costs less than sending
 * every request over an expensive link.
 */
class RendezvousSelector : public Selector {
public:
    using Selector::Selector;

    [[nodiscard]] std::string_view name() const noexcept override { return "rendezvous"; }

protected:
    [[nodiscard]] Choice pick(const SelectRequest& request, const std::vector<BackendView>& candidates) override;
    [[nodiscard]] bool spansDomains(const SelectRequest& request) const override;

private:
    /** @brief The first engines in the prefix's order; null where there is none. */
    struct Ranked {
        /** First of all engines. */
        const BackendView* home = nullptr;
        /** First of the engines that are not skipped. */
        const BackendView* first = nullptr;
        /** Second of the engines that are not skipped. */
        const BackendView* second = nullptr;
    };

    /** @param maxInFlight Engines with this many requests in flight from this router are skipped. */
    [[nodiscard]] static Ranked rank(
        const SelectRequest& request, const std::vector<BackendView>& candidates, std::uint32_t maxInFlight);
    /** @return True if the second engine would prefill the shared part of the prompt clearly before the first engine
     * has prefilled the prompts that it already has. */
    [[nodiscard]] static bool isFaster(const BackendView& second, const BackendView& first) noexcept;
    /** @return The engine with the fewest requests in flight from this router per slot. */
    [[nodiscard]] Choice pickLeastInFlight(const std::vector<BackendView>& candidates);
};

} // namespace swiftlift::routing
