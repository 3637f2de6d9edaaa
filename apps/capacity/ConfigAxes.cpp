#include <cassert>
#include <string>
#include <variant>
#include <vector>

#include "capacity/Axis.h"
#include "capacity/Meter.h"
#include "capacity/ServiceSample.h"
#include "swiftlift/config/ConfigFold.h"
#include "swiftlift/config/Record.h"

namespace swiftlift::capacity {

namespace {

    constexpr std::size_t someBackends = 20;
    constexpr std::size_t someAccounts = 10;

    /** @brief The stream `config` in memory and the fold over it. */
    class ConfigSample {
    public:
        /** @return Bytes of the record. */
        std::size_t publish(
            std::size_t service, std::size_t backends, std::size_t revision, std::size_t accounts = someAccounts)
        {
            const ServiceName name { serviceName(service) };
            config::PublishRequest request;
            request.service = name;
            request.document = serviceDocument(service, backends, accounts, revision);
            if (const auto* last = fold_.last(name)) {
                request.replaces = last->revision;
            }
            request.author = "operator";
            request.id = ++lastId_;
            const std::string record = config::encode(request);
            std::vector<config::ConfigEffect> effects;
            const Meter meter;
            [[maybe_unused]] const bool applied = fold_.apply(fold_.nextOffset(), record, effects);
            microseconds_ += meter.microseconds();
            assert(applied && effects.size() == 1 && std::holds_alternative<config::Accepted>(effects[0])
                && "the sample's documents are in order");
            return record.size();
        }

        [[nodiscard]] const config::ConfigFold& fold() const noexcept { return fold_; }
        [[nodiscard]] double microseconds() const noexcept { return microseconds_; }

    private:
        config::ConfigFold fold_;
        std::uint64_t lastId_ = 0;
        double microseconds_ = 0;
    };

    class Services final : public Axis {
    public:
        Services()
            : Axis("config.services", "services of 20 engines", { 5, 20, 38, 80 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            const Meter memory;
            ConfigSample sample;
            for (std::size_t service = 0; service < size; ++service) {
                sample.publish(service, someBackends, 0);
            }
            const double heap = memory.bytes();
            return { { "fold heap", "B", heap },
                { "snapshot", "B", static_cast<double>(sample.fold().snapshot().size()) },
                { "CPU to read", "us", sample.microseconds() } };
        }
    };

    class Changes final : public Axis {
    public:
        Changes()
            : Axis("config.changes", "changes of 38 services", { 50, 200, 800, 2'400 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            constexpr std::size_t services = 38;
            const Meter memory;
            ConfigSample sample;
            double bytes = 0;
            for (std::size_t change = 0; change < size; ++change) {
                bytes += static_cast<double>(sample.publish(change % services, someBackends, change));
            }
            return { { "records", "B", bytes }, { "CPU to read", "us", sample.microseconds() },
                { "fold heap", "B", memory.bytes() } };
        }
    };

    /** A change carries its service's whole document, so its size grows with the engines named there. */
    class Engines final : public Axis {
    public:
        Engines()
            : Axis("config.engines", "engines in a document", { 20, 100, 316, 632 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            constexpr int changes = 5;
            const Meter memory;
            ConfigSample sample;
            double bytes = 0;
            for (std::size_t change = 0; change < changes; ++change) {
                bytes += static_cast<double>(sample.publish(0, size, change));
            }
            return { { "record", "B", bytes / changes }, { "CPU of a change", "us", sample.microseconds() / changes },
                { "fold heap after five", "B", memory.bytes() } };
        }
    };

    /** As with engines: the document names every account that may call the service. */
    class Accounts final : public Axis {
    public:
        Accounts()
            : Axis("config.accounts", "accounts in a document", { 10, 40, 120, 270 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            constexpr int changes = 5;
            ConfigSample sample;
            double bytes = 0;
            for (std::size_t change = 0; change < changes; ++change) {
                bytes += static_cast<double>(sample.publish(0, someBackends, change, size));
            }
            return { { "record", "B", bytes / changes }, { "CPU of a change", "us", sample.microseconds() / changes } };
        }
    };

} // namespace

void addConfigAxes(Axes& axes)
{
    axes.push_back(std::make_unique<Services>());
    axes.push_back(std::make_unique<Changes>());
    axes.push_back(std::make_unique<Engines>());
    axes.push_back(std::make_unique<Accounts>());
}

} // namespace swiftlift::capacity
