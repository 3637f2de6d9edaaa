#pragma once

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include <prometheus/collectable.h>
#include <prometheus/metric_family.h>

#include "swiftlift/transport/ControlTraffic.h"

namespace swiftlift::transport::internal {

/** Figures that are read at the moment of a scrape: the process's CPU and memory, control traffic, ring fill. */
class ProcessReadings : public prometheus::Collectable {
public:
    explicit ProcessReadings(const ControlTraffic& traffic);

    [[nodiscard]] std::vector<prometheus::MetricFamily> Collect() const override;

    void add(std::string name, std::string help, std::function<double()> read);

private:
    struct Reading {
        std::string name;
        std::string help;
        std::function<double()> read;
    };

    [[nodiscard]] prometheus::MetricFamily traffic() const;

    const ControlTraffic& traffic_;
    mutable std::mutex mutex_;
    std::vector<Reading> readings_;
};

} // namespace swiftlift::transport::internal
