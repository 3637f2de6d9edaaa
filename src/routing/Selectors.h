#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "swiftlift/routing/Selector.h"

namespace swiftlift::routing {

/**
 * @brief Selects the backend server with the earliest predicted first token from a random sample: two of all, and two
 * of those that probably have the prompt's prefix cached.
 */
class AffinitySelector final : public Selector {
public:
    using Selector::Selector;

    [[nodiscard]] std::string_view name() const noexcept override { return "affinity"; }

private:
    [[nodiscard]] Choice pick(const SelectRequest& request, const std::vector<BackendView>& candidates) override;
    /** @brief Draws up to two backend servers at random and adds those to the sample that it does not contain yet. */
    void addToSample(std::vector<const BackendView*> from, std::vector<const BackendView*>& sample);
};

/** @brief Selects a backend server at random. */
class RandomSelector final : public Selector {
public:
    using Selector::Selector;

    [[nodiscard]] std::string_view name() const noexcept override { return "random"; }

private:
    [[nodiscard]] Choice pick(const SelectRequest& request, const std::vector<BackendView>& candidates) override;
};

/** @brief Selects the backend servers in turn, in order of their addresses. */
class RoundRobinSelector final : public Selector {
public:
    using Selector::Selector;

    [[nodiscard]] std::string_view name() const noexcept override { return "round_robin"; }

private:
    [[nodiscard]] Choice pick(const SelectRequest& request, const std::vector<BackendView>& candidates) override;

    BackendId last_;
};

/** @brief Selects the backend server with the lowest estimated load: running and waiting requests per slot. */
class LeastLoadSelector final : public Selector {
public:
    using Selector::Selector;

    [[nodiscard]] std::string_view name() const noexcept override { return "least_load"; }

private:
    [[nodiscard]] Choice pick(const SelectRequest& request, const std::vector<BackendView>& candidates) override;
};

} // namespace swiftlift::routing
