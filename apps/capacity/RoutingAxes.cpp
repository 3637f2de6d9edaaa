#include <cassert>
#include <chrono>
#include <string>
#include <vector>

#include "capacity/Axis.h"
#include "capacity/Meter.h"
#include "swiftlift/routing/BackendTable.h"
#include "swiftlift/routing/Selector.h"

namespace swiftlift::capacity {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t hostsPerNet = 250;
    const ServiceName service { "stitch-plans" };
    const std::string model = "stitch-7b";
    constexpr Tokens promptTokens { 400 };

    [[nodiscard]] BackendId backendAddress(std::size_t number)
    {
        return BackendId { "10.2." + std::to_string(number / hostsPerNet) + '.'
            + std::to_string(number % hostsPerNet + 1) + ":9000" };
    }

    [[nodiscard]] routing::BackendTable makeTable(std::size_t engines, Instant now)
    {
        std::vector<routing::BackendEntry> entries;
        for (std::size_t engine = 0; engine < engines; ++engine) {
            entries.push_back({ backendAddress(engine), FailureDomain { "regina-a" } });
        }
        routing::BackendTable table;
        table.setBackends(service, entries, now);
        return table;
    }

    void reportAll(routing::BackendTable& table, std::size_t engines, Instant now)
    {
        for (std::size_t engine = 0; engine < engines; ++engine) {
            const auto running = static_cast<std::uint32_t>(engine % 8);
            table.onLoad(backendAddress(engine), { running, 0, 3ms, { model }, false, 1 }, now);
        }
    }

    /** Engines that one router watches. */
    class Engines final : public Axis {
    public:
        Engines()
            : Axis("routing.engines", "engines watched", { 24, 100, 316, 632, 1'264 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            constexpr int rounds = 10;
            constexpr int choices = 50;
            Instant now { 1h };
            const Meter memory;
            auto table = makeTable(size, now);
            reportAll(table, size, now);
            const double heap = memory.bytes();
            const Meter reports;
            for (int round = 0; round < rounds; ++round) {
                now += 1s;
                reportAll(table, size, now);
            }
            const double reported = reports.microseconds() / rounds;
            return { { "table heap", "B", heap }, { "CPU of a report of each", "us", reported },
                { "CPU of a selection", "us", select(table, now, choices) } };
        }

    private:
        [[nodiscard]] static double select(const routing::BackendTable& table, Instant now, int choices)
        {
            const auto selector = routing::makeSelector("affinity", { FailureDomain { "regina-a" } });
            routing::SelectRequest request;
            request.service = service;
            request.model = model;
            request.promptTokens = promptTokens;
            const Meter meter;
            for (int choice = 0; choice < choices; ++choice) {
                request.prefixHash = static_cast<std::uint64_t>(choice) + 1;
                [[maybe_unused]] const auto chosen = selector->choose(request, table, now);
                assert(chosen && "every engine is up and empty");
            }
            return meter.microseconds() / choices;
        }
    };

    /** Cached prefixes remembered of one engine. */
    class Prefixes final : public Axis {
    public:
        Prefixes()
            : Axis("routing.prefixes", "prefixes of an engine", { 128, 512, 1'024, 2'048 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            const Instant now { 1h };
            auto table = makeTable(1, now);
            std::vector<routing::CacheNotice> notices;
            for (std::size_t prefix = 1; prefix <= size; ++prefix) {
                notices.push_back({ prefix, routing::CacheChange::Stored, prefix });
            }
            const Meter meter;
            table.onCacheEvents(backendAddress(0), notices, now);
            return { { "table heap", "B", meter.bytes() }, { "CPU of the events", "us", meter.microseconds() } };
        }
    };

} // namespace

void addRoutingAxes(Axes& axes)
{
    axes.push_back(std::make_unique<Engines>());
    axes.push_back(std::make_unique<Prefixes>());
}

} // namespace swiftlift::capacity
