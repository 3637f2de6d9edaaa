#include "transport/ProcessReadings.h"

#include <fstream>
#include <utility>

#include <sys/resource.h>
#include <unistd.h>

#include "swiftlift/transport/Metrics.h"

namespace swiftlift::transport {

double processCpuSeconds()
{
    rusage usage {};
    ::getrusage(RUSAGE_SELF, &usage);
    constexpr double microsecond = 1e-6;
    const auto seconds = [](const timeval& time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * microsecond;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double processResidentBytes()
{
    std::ifstream statm("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    statm >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

namespace internal {

    namespace {

        prometheus::MetricFamily counter(const std::string& name, const std::string& help, double value)
        {
            prometheus::ClientMetric metric;
            metric.counter.value = value;
            return { name, help, prometheus::MetricType::Counter, { metric } };
        }

        prometheus::MetricFamily gauge(const std::string& name, const std::string& help, double value)
        {
            prometheus::ClientMetric metric;
            metric.gauge.value = value;
            return { name, help, prometheus::MetricType::Gauge, { metric } };
        }

        void addTraffic(prometheus::MetricFamily& family, const char* kind, const TrafficCounter& traffic)
        {
            const auto addDirection = [&](const char* direction, std::uint64_t bytes) {
                prometheus::ClientMetric metric;
                metric.label = { { "kind", kind }, { "direction", direction } };
                metric.counter.value = static_cast<double>(bytes);
                family.metric.push_back(metric);
            };
            addDirection("sent", traffic.sent.load());
            addDirection("received", traffic.received.load());
        }

    } // namespace

    ProcessReadings::ProcessReadings(const ControlTraffic& traffic)
        : traffic_(traffic)
    {
    }

    void ProcessReadings::add(std::string name, std::string help, std::function<double()> read)
    {
        const std::lock_guard lock(mutex_);
        readings_.push_back({ std::move(name), std::move(help), std::move(read) });
    }

    std::vector<prometheus::MetricFamily> ProcessReadings::Collect() const
    {
        std::vector<prometheus::MetricFamily> families;
        families.push_back(counter("process_cpu_seconds_total", "CPU time of this process", processCpuSeconds()));
        families.push_back(gauge("process_resident_memory_bytes", "Memory of this process", processResidentBytes()));
        families.push_back(traffic());
        const std::lock_guard lock(mutex_);
        for (const auto& reading : readings_) {
            families.push_back(gauge("swiftlift_" + reading.name, reading.help, reading.read()));
        }
        return families;
    }

    prometheus::MetricFamily ProcessReadings::traffic() const
    {
        prometheus::MetricFamily family { "swiftlift_control_bytes_total", "Bytes of control traffic",
            prometheus::MetricType::Counter, {} };
        addTraffic(family, "peers", traffic_.peers);
        addTraffic(family, "loads", traffic_.loads);
        addTraffic(family, "log", traffic_.log);
        addTraffic(family, "platform", traffic_.platform);
        addTraffic(family, "backends", traffic_.backends);
        return family;
    }

} // namespace internal

} // namespace swiftlift::transport
