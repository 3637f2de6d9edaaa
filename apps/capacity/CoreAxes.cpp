#include <chrono>
#include <utility>

#include "capacity/Axis.h"
#include "capacity/CoreWorld.h"
#include "capacity/Meter.h"
#include "swiftlift/request/RequestTable.h"

namespace swiftlift::capacity {

namespace {

    using namespace std::chrono_literals;

    constexpr int measuredSeconds = 5;
    constexpr Duration warmUp = 5s;

    /** @return Counters of a second in steady state. */
    [[nodiscard]] Measurements secondOf(const CoreWorldSettings& settings)
    {
        CoreWorld world(settings);
        world.run(warmUp);
        world.resetCounts();
        world.run(std::chrono::seconds(measuredSeconds));
        const CoreWorldCounts& counts = world.counts();
        const auto perSecond = [](double count) { return count / measuredSeconds; };
        return { { "CPU of a second", "us", perSecond(world.microseconds()) },
            { "answered", "1/s", perSecond(counts.answered) }, { "other ends", "1/s", perSecond(counts.otherEnds) },
            { "appends", "1/s", perSecond(counts.appends) },
            { "ledger bytes appended", "B/s", perSecond(counts.appendedBytes) },
            { "ledger bytes read", "B/s", perSecond(counts.readBytes) },
            { "peer messages sent", "1/s", perSecond(counts.messages) },
            { "peer bytes sent", "B/s", perSecond(counts.messageBytes) },
            { "log lines", "1/s", perSecond(counts.logLines) } };
    }

    /** @brief An axis that changes one figure of the world. */
    class WorldAxis : public Axis {
    public:
        using Axis::Axis;

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            CoreWorldSettings settings;
            apply(size, settings);
            return secondOf(settings);
        }

    private:
        virtual void apply(std::size_t size, CoreWorldSettings& settings) const = 0;
    };

    class RequestRate final : public WorldAxis {
    public:
        RequestRate()
            : WorldAxis("core.requests", "requests a second", { 5, 20, 80, 320 })
        {
        }

    private:
        void apply(std::size_t size, CoreWorldSettings& settings) const override
        {
            settings.requestsPerSecond = static_cast<double>(size);
        }
    };

    class Progress final : public WorldAxis {
    public:
        Progress()
            : WorldAxis("core.progress", "progress reports a second", { 20, 200, 1'000, 4'000 })
        {
        }

    private:
        void apply(std::size_t size, CoreWorldSettings& settings) const override
        {
            constexpr std::size_t requests = 20;
            settings.requestsPerSecond = requests;
            settings.progressReports = size / requests;
        }
    };

    class EnginesReported final : public WorldAxis {
    public:
        EnginesReported()
            : WorldAxis("core.engines", "engines reporting each second", { 24, 100, 316, 632 })
        {
        }

    private:
        void apply(std::size_t size, CoreWorldSettings& settings) const override { settings.engines = size; }
    };

    /** At ten requests a second, so that the slope is what an engine of the service adds to a request and a report. */
    class EnginesUsed final : public WorldAxis {
    public:
        EnginesUsed()
            : WorldAxis("core.engines_10rps", "engines of a service at 10 requests/s", { 24, 100, 316, 632 })
        {
        }

    private:
        void apply(std::size_t size, CoreWorldSettings& settings) const override
        {
            constexpr double requests = 10;
            settings.engines = size;
            settings.requestsPerSecond = requests;
        }
    };

    class BudgetsInUse final : public WorldAxis {
    public:
        BudgetsInUse()
            : WorldAxis("core.budgets", "budgets drawn on in turn at 40 requests/s", { 5, 20, 80, 320 })
        {
        }

    private:
        void apply(std::size_t size, CoreWorldSettings& settings) const override
        {
            constexpr double requests = 40;
            settings.accounts = size;
            settings.requestsPerSecond = requests;
        }
    };

    /** A change of one service, at a core that knows the engines of all of them. */
    class ConfigChange final : public Axis {
    public:
        ConfigChange()
            : Axis("core.config_change", "services of 316 engines known", { 1, 4, 12, 38 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            constexpr std::size_t enginesOfService = 316;
            constexpr int changes = 4;
            CoreWorldSettings settings;
            settings.services = size;
            settings.engines = enginesOfService;
            const Meter memory;
            CoreWorld world(settings);
            world.run(warmUp);
            const double heap = memory.bytes();
            world.resetCounts();
            for (int change = 0; change < changes; ++change) {
                world.publish(0);
                world.run(20ms);
            }
            return { { "CPU of a change", "us", world.microseconds() / changes },
                { "heap of two cores and their log", "B", heap } };
        }
    };

    /** Requests that have ended and are remembered, for callers who ask again. */
    class RequestsRemembered final : public Axis {
    public:
        RequestsRemembered()
            : Axis("request.remembered", "ended requests remembered", { 1'000, 5'000, 10'000, 20'000 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            constexpr std::size_t window = 20'000;
            const Meter meter;
            request::RequestTable table(window);
            for (std::size_t number = 1; number <= size; ++number) {
                const RequestKey key = requestKey(number);
                (void)table.arrive(key, CallId { number }, 1, true);
                table.dispatched(key);
                table.attemptEnded(key, request::AttemptEnd::Completed);
                (void)table.end(key, request::Outcome::Answered, "answered", sampleBill);
            }
            return { { "heap", "B", meter.bytes() }, { "CPU", "us", meter.microseconds() } };
        }
    };

    class LedgerStreams final : public WorldAxis {
    public:
        LedgerStreams()
            : WorldAxis("core.streams", "ledger streams followed", { 1, 4, 8, 20 })
        {
        }

    private:
        void apply(std::size_t size, CoreWorldSettings& settings) const override
        {
            settings.ledgerShards = static_cast<std::uint32_t>(size);
        }
    };

    class ForeignRecords final : public WorldAxis {
    public:
        ForeignRecords()
            : WorldAxis("core.foreign_records", "records of 8 bills a second by others", { 10, 50, 150, 300 })
        {
        }

    private:
        void apply(std::size_t size, CoreWorldSettings& settings) const override
        {
            settings.foreignRecordsPerSecond = size;
        }
    };

    /** Budgets that were drawn on and are still held: what they cost when nobody asks for them any more. */
    class BudgetsHeld final : public Axis {
    public:
        BudgetsHeld()
            : Axis("core.held_budgets", "budgets held and idle", { 50, 200, 800, 1'600 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            constexpr std::size_t rounds = 2;
            CoreWorldSettings settings;
            settings.accounts = size;
            settings.requestsPerSecond = static_cast<double>(size) / rounds;
            CoreWorld world(settings);
            world.run(std::chrono::seconds(rounds + 1));
            world.setRequestRate(0);
            world.run(warmUp);
            world.resetCounts();
            world.run(std::chrono::seconds(measuredSeconds));
            return { { "CPU of a second", "us", world.microseconds() / measuredSeconds },
                { "peer messages sent", "1/s", world.counts().messages / measuredSeconds },
                { "appends", "1/s", world.counts().appends / measuredSeconds } };
        }
    };

} // namespace

void addCoreAxes(Axes& axes)
{
    axes.push_back(std::make_unique<RequestRate>());
    axes.push_back(std::make_unique<Progress>());
    axes.push_back(std::make_unique<EnginesReported>());
    axes.push_back(std::make_unique<EnginesUsed>());
    axes.push_back(std::make_unique<BudgetsInUse>());
    axes.push_back(std::make_unique<BudgetsHeld>());
    axes.push_back(std::make_unique<ConfigChange>());
    axes.push_back(std::make_unique<RequestsRemembered>());
    axes.push_back(std::make_unique<LedgerStreams>());
    axes.push_back(std::make_unique<ForeignRecords>());
}

} // namespace swiftlift::capacity
