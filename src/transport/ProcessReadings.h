#pragma once

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include <prometheus/collectable.h>
#include <prometheus/metric_family.h>

#include "swiftlift/transport/ControlTraffic.h"

namespace swiftlift::transport::internal {

/** Metrics whose values are read at each scrape: the process's CPU and memory use, control traffic, ring fill. */
class ProcessReadings : public prometheus::Collectable {
public:
    explicit ProcessReadings(const ControlTraffic& traffic);

    [[nodiscard]] std::vector<prometheus::MetricFamily> Collect() const override;

    /** Adds a gauge whose value `read` returns at each scrape; `name` lacks the prefix `swiftlift_`. */
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
