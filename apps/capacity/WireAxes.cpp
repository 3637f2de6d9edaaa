#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "capacity/Axis.h"
#include "capacity/LedgerSample.h"
#include "capacity/Meter.h"
#include "swiftlift/ledger/EntryCodec.h"
#include "swiftlift/node/PeerMessage.h"
#include "swiftlift/wire/PeerCodec.h"

namespace swiftlift::capacity {

namespace {

    constexpr int repeats = 200;

    [[nodiscard]] Measurements codecCost(node::PeerMessage message)
    {
        const wire::PeerEnvelope envelope { Incarnation { 1 }, PeerAddress { "10.1.0.1:7400" }, Incarnation { 2 },
            std::move(message) };
        const Meter encoding;
        std::string bytes;
        for (int repeat = 0; repeat < repeats; ++repeat) {
            bytes = wire::encodePeerEnvelope(envelope);
        }
        const double encoded = encoding.microseconds() / repeats;
        const Meter decoding;
        for (int repeat = 0; repeat < repeats; ++repeat) {
            (void)wire::decodePeerEnvelope(bytes);
        }
        return { { "message", "B", static_cast<double>(bytes.size()) }, { "encode", "us", encoded },
            { "decode", "us", decoding.microseconds() / repeats } };
    }

    class Ceilings final : public Axis {
    public:
        Ceilings()
            : Axis("wire.ceilings", "ceilings in a message", { 1, 8, 64, 512 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            node::RaiseCeilings raise;
            for (std::size_t grant = 0; grant < size; ++grant) {
                raise.ceilings.push_back({ { firstRouter, static_cast<std::uint32_t>(grant) }, Tokens { 100'000 } });
            }
            return codecCost(std::move(raise));
        }
    };

    class RelayedItems final : public Axis {
    public:
        RelayedItems()
            : Axis("wire.relayed_bills", "bills in a relayed record", { 1, 8, 64, 256 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            LedgerSample sample;
            std::vector<ledger::Entry> bills;
            for (std::size_t key = 0; key < size; ++key) {
                bills.emplace_back(bill(key));
            }
            const auto batch = sample.batch(firstRouter, std::move(bills));
            return codecCost(node::RelayAppend { StreamName { "ledger-0" }, ledger::encode(batch) });
        }
    };

    /** A loan's four messages: asked for, given, done, acknowledged. */
    class Loans final : public Axis {
    public:
        Loans()
            : Axis("wire.loans", "loans", { 1, 10, 100, 1'000 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            double bytes = 0;
            const Meter meter;
            for (std::uint64_t loan = 1; loan <= size; ++loan) {
                const BudgetRef budget = budgetName(loan);
                const node::PeerMessage messages[] = { node::LoanAsk { loan, budget, lent },
                    node::LoanGiven { loan, budget, { firstRouter, 1 }, lent }, node::LoanDone { loan, lent },
                    node::LoanDoneAcked { loan } };
                for (const auto& message : messages) {
                    const std::string text = wire::encodePeerEnvelope(
                        { Incarnation { 1 }, PeerAddress { "10.1.0.1:7400" }, Incarnation { 2 }, message });
                    bytes += static_cast<double>(text.size());
                    (void)wire::decodePeerEnvelope(text);
                }
            }
            return { { "bytes of all messages", "B", bytes },
                { "CPU to encode and decode", "us", meter.microseconds() } };
        }

    private:
        static constexpr Tokens lent { 1'000 };
    };

} // namespace

void addWireAxes(Axes& axes)
{
    axes.push_back(std::make_unique<Ceilings>());
    axes.push_back(std::make_unique<RelayedItems>());
    axes.push_back(std::make_unique<Loans>());
}

} // namespace swiftlift::capacity
