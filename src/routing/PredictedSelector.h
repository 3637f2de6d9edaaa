#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "routing/CostModel.h"
#include "routing/PrefixHolders.h"
#include "routing/RendezvousSelector.h"

namespace swiftlift::routing {

/**
 * @brief Selects the server with the earliest expected first event, to which the delay of others is added, by the load
 * of the whole fleet; without a view of that load it selects as RendezvousSelector does.
 *
 * Weighs what a cached prefix saves against the wait for it. Only a few servers are compared: the first ones in the
 * prefix's order, those that this router saw use the prefix, and some drawn at random. Many routers have the same late
 * view, and must not all select the one server that looks best in it.
 */
class PredictedSelector final : public RendezvousSelector {
public:
    /** @param terms The terms that are weighed. */
    explicit PredictedSelector(SelectorSettings settings, internal::CostTerms terms = {});

    [[nodiscard]] std::string_view name() const noexcept override { return "predicted"; }
    void onPromptServed(const PromptServed& served, Instant now) override { holders_.onPromptServed(served, now); }

private:
    /** Servers compared by the prefix's order. */
    static constexpr std::size_t inOrder = 3;
    /** Servers drawn at random for a request with a prefix, and for one without. */
    static constexpr std::size_t drawnWithPrefix = 2;
    static constexpr std::size_t drawnWithoutPrefix = 4;

    /** @brief Why a server is compared. */
    enum class Origin : std::uint8_t { Home, InOrder, Holder, Drawn };

    /** @brief A server that is compared. */
    struct Candidate {
        const BackendView* view = nullptr;
        Origin origin = Origin::Drawn;
        internal::CachedPart cached;
    };

    /** @brief The servers that are compared for one request. */
    class Sample {
    public:
        /** @brief Adds a server unless it is there already. */
        void add(const Candidate& candidate);
        [[nodiscard]] const Candidate* begin() const noexcept { return candidates_.data(); }
        [[nodiscard]] const Candidate* end() const noexcept { return candidates_.data() + size_; }

    private:
        std::array<Candidate, inOrder + internal::PrefixHolders::maxHolders + drawnWithoutPrefix> candidates_;
        std::size_t size_ = 0;
    };

    [[nodiscard]] Choice pick(const SelectRequest& request, const std::vector<BackendView>& candidates) override;
    [[nodiscard]] Sample sample(const SelectRequest& request, const std::vector<BackendView>& servers);
    /** @brief Adds the first servers in the prefix's order, and those that are known to hold it. */
    void addByPrefix(const SelectRequest& request, const std::vector<BackendView>& servers, Sample& sample) const;
    void addDrawn(const std::vector<BackendView>& servers, std::size_t count, Sample& sample);
    [[nodiscard]] internal::CachedPart cachedAt(
        const SelectRequest& request, const BackendView& view, const internal::PrefixHolders::Holders* holders) const;
    [[nodiscard]] static const char* reasonOf(Origin origin);

    internal::CostModel costs_;
    internal::PrefixHolders holders_;
};

} // namespace swiftlift::routing
