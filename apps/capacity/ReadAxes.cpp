#include <cassert>
#include <string>
#include <vector>

#include "capacity/Axis.h"
#include "capacity/LedgerSample.h"
#include "capacity/Meter.h"
#include "swiftlift/ledger/EntryCodec.h"

namespace swiftlift::capacity {

namespace {

    /** Makes records of bills, writes each as bytes and reads it back into a second fold. */
    struct ReadCost {
        double encode = 0;
        double decodeAndApply = 0;
        double bytes = 0;
    };

    [[nodiscard]] ReadCost readBills(std::size_t records, std::size_t itemsPerRecord)
    {
        LedgerSample sample;
        sample.addLargeGrant();
        ReadCost cost;
        std::vector<std::string> encoded;
        std::size_t key = 0;
        for (std::size_t record = 0; record < records; ++record) {
            std::vector<ledger::Entry> bills;
            for (std::size_t item = 0; item < itemsPerRecord; ++item) {
                bills.emplace_back(bill(++key));
            }
            const ledger::Batch batch = sample.batch(firstRouter, std::move(bills));
            const Meter meter;
            encoded.push_back(ledger::encode(batch));
            cost.encode += meter.microseconds();
            cost.bytes += static_cast<double>(encoded.back().size());
        }
        const Meter meter;
        for (const auto& record : encoded) {
            std::string reason;
            std::vector<ledger::Effect> effects;
            const auto batch = ledger::decodeBatch(record, reason);
            [[maybe_unused]] const bool applied
                = batch && sample.fold().apply(sample.fold().nextOffset(), *batch, effects);
            assert(applied && "what was encoded can be read");
        }
        cost.decodeAndApply = meter.microseconds();
        return cost;
    }

    [[nodiscard]] Measurements toMeasurements(const ReadCost& cost, double divisor)
    {
        return { { "record bytes", "B", cost.bytes / divisor }, { "encode", "us", cost.encode / divisor },
            { "decode and apply", "us", cost.decodeAndApply / divisor } };
    }

    class Records final : public Axis {
    public:
        Records()
            : Axis("ledger.records", "records of 8 bills", { 500, 2'000, 8'000, 20'000 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            constexpr std::size_t itemsPerRecord = 8;
            return toMeasurements(readBills(size, itemsPerRecord), 1);
        }
    };

    /** The slope is what an item costs, the intercept what a record costs. */
    class ItemsPerRecord final : public Axis {
    public:
        ItemsPerRecord()
            : Axis("ledger.items_per_record", "bills in a record", { 1, 8, 32, 128, 256 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            constexpr std::size_t records = 400;
            return toMeasurements(readBills(records, size), records);
        }
    };

} // namespace

void addReadAxes(Axes& axes)
{
    axes.push_back(std::make_unique<Records>());
    axes.push_back(std::make_unique<ItemsPerRecord>());
}

} // namespace swiftlift::capacity
