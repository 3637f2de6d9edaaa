#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace swiftlift::capacity {

/** One counter of one run. */
struct Measurement {
    std::string measure;
    std::string unit;
    double value = 0;
};
using Measurements = std::vector<Measurement>;

/** @brief One quantity that grows with the fleet, and what it costs at several sizes. */
class Axis {
public:
    /**
     * @param name For example `fold.grants`.
     * @param unit What is counted.
     * @param sizes At least four; the largest is the largest size really run.
     */
    Axis(std::string name, std::string unit, std::vector<std::size_t> sizes)
        : name_(std::move(name))
        , unit_(std::move(unit))
        , sizes_(std::move(sizes))
    {
    }
    virtual ~Axis() = default;
    Axis(const Axis&) = delete;
    Axis& operator=(const Axis&) = delete;

    /** @return The counters of a fresh run of this size; the same measures at every size. */
    [[nodiscard]] virtual Measurements run(std::size_t size) const = 0;

    [[nodiscard]] const std::string& name() const noexcept { return name_; }
    [[nodiscard]] const std::string& unit() const noexcept { return unit_; }
    [[nodiscard]] const std::vector<std::size_t>& sizes() const noexcept { return sizes_; }

private:
    std::string name_;
    std::string unit_;
    std::vector<std::size_t> sizes_;
};

using Axes = std::vector<std::unique_ptr<Axis>>;

// Each adds the axes of one module.
void addFoldAxes(Axes& axes);
void addReadAxes(Axes& axes);
void addOutboxAxes(Axes& axes);
void addHolderAxes(Axes& axes);
void addMembershipAxes(Axes& axes);
void addRoutingAxes(Axes& axes);
void addConfigAxes(Axes& axes);
void addWireAxes(Axes& axes);
void addCoreAxes(Axes& axes);

} // namespace swiftlift::capacity
