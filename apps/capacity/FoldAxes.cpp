#include <cstdint>
#include <string>
#include <vector>

#include "capacity/Axis.h"
#include "capacity/LedgerSample.h"
#include "capacity/Meter.h"

namespace swiftlift::capacity {

namespace {

    /** What a fold of this state costs to keep, to write down and to start from. */
    [[nodiscard]] Measurements stateCost(LedgerSample& sample, double heap)
    {
        LedgerSample other;
        const Meter writing;
        const ledger::Checkpoint checkpoint = sample.fold().checkpoint();
        const double written = writing.microseconds();
        const Meter reading;
        (void)other.fold().restore(checkpoint);
        return { { "fold heap", "B", heap }, { "checkpoint", "B", static_cast<double>(checkpoint.state.size()) },
            { "checkpoint write", "us", written }, { "checkpoint restore", "us", reading.microseconds() } };
    }

    class Accounts final : public Axis {
    public:
        Accounts()
            : Axis("fold.accounts", "accounts", { 270, 1'000, 4'000, 16'000 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            const Meter meter;
            LedgerSample sample;
            std::vector<ledger::Entry> entries;
            for (std::size_t account = 0; account < size; ++account) {
                entries.emplace_back(openAccount(account));
            }
            sample.appendAll(operatorOrigin, entries);
            entries = {};
            return stateCost(sample, meter.bytes());
        }
    };

    class Budgets final : public Axis {
    public:
        Budgets()
            : Axis("fold.budgets", "budgets", { 1'000, 5'000, 13'000, 26'000 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            LedgerSample sample;
            const Meter meter;
            sample.addBudgets(size);
            return stateCost(sample, meter.bytes());
        }
    };

    class Grants final : public Axis {
    public:
        Grants()
            : Axis("fold.open_grants", "open grants", { 1'000, 4'000, 16'000, 64'000 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            constexpr std::size_t budgets = 1'000;
            constexpr std::size_t routers = 400;
            LedgerSample sample;
            sample.addBudgets(budgets);
            const Meter meter;
            sample.addGrants(size, budgets, routers);
            const double heap = meter.bytes();
            const Meter listing;
            const auto open = sample.fold().openGrants();
            const double listed = listing.microseconds();
            Measurements result = stateCost(sample, heap);
            result.push_back({ "list of open grants", "us", listed });
            return result;
        }
    };

    /** Keys of bills, which the fold remembers against a second billing. */
    class BillKeys final : public Axis {
    public:
        BillKeys()
            : Axis("fold.bill_keys", "billed requests remembered", { 25'000, 50'000, 100'000, 200'000 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            LedgerSample sample;
            sample.addLargeGrant();
            const Meter meter;
            constexpr std::size_t itemsPerRecord = 256;
            for (std::size_t first = 0; first < size; first += itemsPerRecord) {
                std::vector<ledger::Entry> bills;
                for (std::size_t key = first; key < first + itemsPerRecord; ++key) {
                    bills.emplace_back(bill(key));
                }
                sample.append(firstRouter, std::move(bills));
            }
            return stateCost(sample, meter.bytes());
        }
    };

    /** Authors: every life of every router, of which the fold remembers a bounded number. */
    class Origins final : public Axis {
    public:
        Origins()
            : Axis("fold.authors", "authors", { 400, 1'000, 3'000, 8'000 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            LedgerSample sample;
            sample.addBudgets(1);
            const Meter meter;
            for (std::size_t author = 0; author < size; ++author) {
                const Incarnation origin { firstRouter.value() + author };
                sample.append(origin, { ledger::VoidClaim { requestKey(0) } });
            }
            return stateCost(sample, meter.bytes());
        }
    };

} // namespace

void addFoldAxes(Axes& axes)
{
    axes.push_back(std::make_unique<Accounts>());
    axes.push_back(std::make_unique<Budgets>());
    axes.push_back(std::make_unique<Grants>());
    axes.push_back(std::make_unique<BillKeys>());
    axes.push_back(std::make_unique<Origins>());
}

} // namespace swiftlift::capacity
