#include <cassert>
#include <chrono>
#include <string>
#include <vector>

#include "capacity/Axis.h"
#include "capacity/LedgerSample.h"
#include "capacity/Meter.h"
#include "node/ItemCopies.h"
#include "swiftlift/ledger/EntryCodec.h"
#include "swiftlift/ledger/Outbox.h"

namespace swiftlift::capacity {

namespace {

    using namespace std::chrono_literals;

    /** Items that pile up while the log is out of reach, and what it takes to hand them over afterwards. */
    class Pending final : public Axis {
    public:
        Pending()
            : Axis("outbox.pending", "bills not appended yet", { 1'000, 5'000, 20'000, 40'000 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            const Meter memory;
            ledger::Outbox outbox(firstRouter);
            for (std::size_t key = 0; key < size; ++key) {
                outbox.add(bill(key));
            }
            const double heap = memory.bytes();
            const Meter processor;
            double appends = 0;
            double bytes = 0;
            for (Instant now { 1h }; !outbox.empty(); now += 1s) {
                const auto batch = outbox.next(now);
                assert(batch && "nothing is in flight");
                ++appends;
                bytes += static_cast<double>(ledger::encode(*batch).size());
                for (const auto& item : batch->items) {
                    outbox.onLanded({ item.origin, item.sequence }, now);
                }
            }
            return { { "heap", "B", heap }, { "appends to hand over", "", appends },
                { "bytes to hand over", "B", bytes }, { "CPU to hand over", "us", processor.microseconds() } };
        }
    };

    /** Copies that a witness keeps of a peer's items. */
    class Copies final : public Axis {
    public:
        Copies()
            : Axis("witness.copies", "items kept for a peer", { 1'000, 4'000, 10'000, 20'000 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            LedgerSample sample;
            std::vector<ledger::Entry> bills;
            for (std::size_t key = 0; key < size; ++key) {
                bills.emplace_back(bill(key));
            }
            const ledger::Batch batch = sample.batch(firstRouter, std::move(bills));
            const Meter meter;
            node::ItemCopies copies(sample.fold());
            [[maybe_unused]] const auto kept = copies.keep(batch.items, Instant {});
            assert(kept && *kept == size && "all of them fit");
            return { { "heap", "B", meter.bytes() }, { "CPU", "us", meter.microseconds() } };
        }
    };

} // namespace

void addOutboxAxes(Axes& axes)
{
    axes.push_back(std::make_unique<Pending>());
    axes.push_back(std::make_unique<Copies>());
}

} // namespace swiftlift::capacity
