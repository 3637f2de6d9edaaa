#pragma once

#include <string_view>
#include <vector>

#include "swiftlift/routing/Selector.h"

namespace swiftlift::routing {

/**
 * @brief Sends requests with one prefix to one engine, on all routers alike, without a word between them.
 *
 * The load pattern it answers: a few hundred prefixes, each asked for every few seconds by the fleet but seldom by any
 * one router. A router that goes by what it has seen itself then finds a prefix uncached almost every time. Here each
 * prefix has an order of engines by rendezvous hashing (Thaler and Ravishankar 1998), so the loss of one engine moves
 * only its own prefixes. An engine that has much more in flight from this router than the mean is passed over, so that
 * one popular prefix can't drown it. A long prefix has one home in the whole fleet, a short one a home in each failure
 * domain: reading it once more there costs less than sending every request over a dear link.
 */
class RendezvousSelector final : public Selector {
public:
    using Selector::Selector;

    [[nodiscard]] std::string_view name() const noexcept override { return "rendezvous"; }

private:
    [[nodiscard]] Choice pick(const SelectRequest& request, const std::vector<BackendView>& candidates) override;
    [[nodiscard]] bool spansDomains(const SelectRequest& request) const override;
    /** Engines in the prefix's order; null where there is none. */
    struct Ranked {
        /** Of all. */
        const BackendView* home = nullptr;
        /** Of those that are not passed over. */
        const BackendView* first = nullptr;
        const BackendView* second = nullptr;
    };

    [[nodiscard]] static Ranked rank(
        const SelectRequest& request, const std::vector<BackendView>& candidates, std::uint32_t bound);
    [[nodiscard]] static bool quicker(const BackendView& second, const BackendView& first) noexcept;
    [[nodiscard]] Choice leastLoaded(const std::vector<BackendView>& candidates);
};

} // namespace swiftlift::routing
