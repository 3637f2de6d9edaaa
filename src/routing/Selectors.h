#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "swiftlift/routing/Selector.h"

namespace swiftlift::routing {

/**
 * @brief The better of two drawn at random, and of two that probably hold the prompt's prefix, by predicted first
 * token.
 */
class AffinitySelector final : public Selector {
public:
    using Selector::Selector;

    [[nodiscard]] std::string_view name() const noexcept override { return "affinity"; }

private:
    [[nodiscard]] Choice pick(const SelectRequest& request, const std::vector<BackendView>& candidates) override;
    void draw(std::vector<const BackendView*> from, std::vector<const BackendView*>& sample);
};

/** @brief Any of them. */
class RandomSelector final : public Selector {
public:
    using Selector::Selector;

    [[nodiscard]] std::string_view name() const noexcept override { return "random"; }

private:
    [[nodiscard]] Choice pick(const SelectRequest& request, const std::vector<BackendView>& candidates) override;
};

/** @brief Each in turn. */
class RoundRobinSelector final : public Selector {
public:
    using Selector::Selector;

    [[nodiscard]] std::string_view name() const noexcept override { return "round_robin"; }

private:
    [[nodiscard]] Choice pick(const SelectRequest& request, const std::vector<BackendView>& candidates) override;

    BackendId last_;
};

/** @brief The one with the least load, as far as is known. */
class LeastLoadSelector final : public Selector {
public:
    using Selector::Selector;

    [[nodiscard]] std::string_view name() const noexcept override { return "least_load"; }

private:
    [[nodiscard]] Choice pick(const SelectRequest& request, const std::vector<BackendView>& candidates) override;
};

} // namespace swiftlift::routing
