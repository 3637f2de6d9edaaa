#include <cassert>
#include <chrono>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

#include "capacity/Axis.h"
#include "capacity/LedgerSample.h"
#include "capacity/Meter.h"
#include "swiftlift/ledger/Holder.h"
#include "swiftlift/ledger/Witness.h"

namespace swiftlift::capacity {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration tickPeriod = 50ms;
    constexpr int ticksPerSecond = 20;
    constexpr Incarnation holderId { 2000 };
    constexpr Incarnation witnessId { 2001 };
    constexpr Tokens requestCost { 600 };

    /** @brief A holder and its witness over one fold, with the log and the messages between them at hand. */
    class Pair {
    public:
        explicit Pair(std::size_t budgets)
        {
            sample_.addBudgets(budgets);
            environment_.logReachable = true;
            environment_.witness = witnessId;
        }

        void start()
        {
            holder_ = std::make_unique<ledger::Holder>(holderId, ledger::makePolicy("grants", {}), sample_.fold());
            witness_ = std::make_unique<ledger::Witness>(witnessId, sample_.fold());
        }

        /** A request of every budget, answered and billed. */
        void serveAll(std::size_t budgets)
        {
            for (std::size_t budget = 0; budget < budgets; ++budget) {
                serve(budgetName(budget));
            }
        }

        void tick()
        {
            now_ += tickPeriod;
            ledger::LedgerActions actions;
            holder_->onTick(now_, environment_, actions);
            execute(actions);
            land();
        }

        [[nodiscard]] std::size_t holdings() const { return holder_->holdings().size(); }
        [[nodiscard]] std::size_t appended() const noexcept { return appended_; }
        [[nodiscard]] std::size_t messages() const noexcept { return messages_; }
        [[nodiscard]] std::size_t served() const noexcept { return served_; }

    private:
        void serve(const BudgetRef& budget)
        {
            ledger::LedgerActions actions;
            const RequestKey key = requestKey(++requests_);
            auto result = holder_->reserve(budget, key, requestCost, now_, actions);
            if (const auto* reservation = std::get_if<ledger::Reservation>(&result)) {
                holder_->settle(*reservation, requestCost, actions);
                ++served_;
            }
            execute(actions);
        }

        /** What was appended is read back. */
        void land()
        {
            while (!waiting_.empty()) {
                const auto effects = sample_.append(holderId, std::exchange(waiting_, {}));
                for (const auto& effect : effects) {
                    ledger::LedgerActions actions;
                    holder_->onEffect(effect, now_, actions);
                    witness_->onEffect(effect, actions);
                    execute(actions);
                }
            }
        }

        void execute(ledger::LedgerActions& actions)
        {
            for (std::size_t index = 0; index < actions.size(); ++index) {
                if (auto* append = std::get_if<ledger::AppendEntry>(&actions[index])) {
                    waiting_.push_back(std::move(append->entry));
                    ++appended_;
                } else if (auto* raise = std::get_if<ledger::SendRaise>(&actions[index])) {
                    const auto ceilings = std::move(raise->ceilings);
                    ++messages_;
                    witness_->onRaise(holderId, ceilings, actions);
                } else if (auto* acked = std::get_if<ledger::SendCeilingsAcked>(&actions[index])) {
                    const auto ceilings = std::move(acked->ceilings);
                    ++messages_;
                    holder_->onCeilingsAcked(witnessId, ceilings, now_, actions);
                }
            }
        }

        LedgerSample sample_;
        std::unique_ptr<ledger::Holder> holder_;
        std::unique_ptr<ledger::Witness> witness_;
        ledger::HolderEnvironment environment_;
        std::vector<ledger::Entry> waiting_;
        Instant now_ { 1h };
        std::size_t requests_ = 0;
        std::size_t served_ = 0;
        std::size_t appended_ = 0;
        std::size_t messages_ = 0;
    };

    /** Budgets that a router draws on at once, each asked for once a second. */
    class Holdings final : public Axis {
    public:
        Holdings()
            : Axis("holder.budgets", "budgets in use", { 100, 400, 1'600, 6'400 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            constexpr int warmUpSeconds = 3;
            Pair pair(size);
            const Meter memory;
            pair.start();
            second(pair, size, warmUpSeconds);
            const double heap = memory.bytes();
            const std::size_t servedBefore = pair.served();
            const std::size_t appendedBefore = pair.appended();
            const std::size_t messagesBefore = pair.messages();
            const Meter processor;
            second(pair, size, 1);
            const double spent = processor.microseconds();
            return { { "heap", "B", heap }, { "CPU of a second", "us", spent },
                { "requests covered", "1/s", static_cast<double>(pair.served() - servedBefore) },
                { "entries", "1/s", static_cast<double>(pair.appended() - appendedBefore) },
                { "ceiling messages", "1/s", static_cast<double>(pair.messages() - messagesBefore) } };
        }

    private:
        static void second(Pair& pair, std::size_t budgets, int seconds)
        {
            for (int tick = 0; tick < seconds * ticksPerSecond; ++tick) {
                if (tick % ticksPerSecond == 0) {
                    pair.serveAll(budgets);
                }
                pair.tick();
            }
        }
    };

    /** Budgets that are held and no longer asked for: what a tick costs all the same. */
    class IdleHoldings final : public Axis {
    public:
        IdleHoldings()
            : Axis("holder.idle_budgets", "budgets held", { 100, 400, 1'600, 6'400 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            Pair pair(size);
            pair.start();
            for (int tick = 0; tick < ticksPerSecond; ++tick) {
                if (tick % (ticksPerSecond / 4) == 0) {
                    pair.serveAll(size);
                }
                pair.tick();
            }
            const Meter processor;
            for (int tick = 0; tick < ticksPerSecond; ++tick) {
                pair.tick();
            }
            return { { "CPU of a second", "us", processor.microseconds() },
                { "holdings", "", static_cast<double>(pair.holdings()) } };
        }
    };

    /** Ceilings that a witness has acknowledged. */
    class Witnessed final : public Axis {
    public:
        Witnessed()
            : Axis("witness.grants", "grants witnessed", { 500, 2'000, 8'000, 32'000 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            constexpr std::size_t budgets = 1'000;
            LedgerSample sample;
            sample.addBudgets(budgets);
            sample.addGrants(size, budgets, 1);
            std::vector<ledger::Ceiling> ceilings;
            for (std::size_t grant = 1; grant <= size; ++grant) {
                ceilings.push_back({ { firstRouter, static_cast<std::uint32_t>(grant) }, Tokens { 1'000 } });
            }
            const Meter meter;
            ledger::Witness witness(Incarnation { firstRouter.value() + 1 }, sample.fold());
            ledger::LedgerActions actions;
            witness.onRaise(firstRouter, ceilings, actions);
            const double raised = meter.microseconds();
            actions = {};
            const double heap = meter.bytes();
            const Meter sealing;
            witness.suspect(firstRouter, actions);
            return { { "witness heap", "B", heap }, { "CPU of a raise of all", "us", raised },
                { "CPU of sealing all", "us", sealing.microseconds() },
                { "seals", "", static_cast<double>(actions.size()) } };
        }
    };

} // namespace

void addHolderAxes(Axes& axes)
{
    axes.push_back(std::make_unique<Holdings>());
    axes.push_back(std::make_unique<IdleHoldings>());
    axes.push_back(std::make_unique<Witnessed>());
}

} // namespace swiftlift::capacity
