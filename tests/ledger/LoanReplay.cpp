#include "ledger/LoanReplay.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <tuple>
#include <utility>
#include <variant>

#include "swiftlift/ledger/Fold.h"
#include "swiftlift/ledger/Holder.h"
#include "swiftlift/ledger/Witness.h"

namespace swiftlift::ledger {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration tickPeriod = 50ms;
    constexpr Duration logPeriod = 100ms;
    constexpr Duration runTime = 36s;
    constexpr Duration outageLength = 8s;
    constexpr std::array<Duration, 2> outageStarts { 5s, 23s };
    constexpr std::array<Duration, 3> tokenWaitLimits { 300ms, 400ms, 600ms };
    constexpr std::uint64_t firstRouter = 10;
    constexpr std::size_t domains = 4;
    /** Range of a request's largest cost in tokens; requests are billed a third of it on average. */
    constexpr double minCost = 1'000;
    constexpr double maxCost = 60'000;

    struct Caller {
        RequestKey key;
        Tokens maxCost;
        Instant since {};
        Duration limit {};
        Tokens cost;
        Duration answerTime {};
    };

    struct Router {
        Router(Incarnation self, const PolicySettings& settings, const Fold& fold)
            : id(self)
            , holder(self, makePolicy("grants", settings), fold)
            , witness(self, fold)
        {
        }

        Incarnation id;
        Holder holder;
        Witness witness;
        HolderEnvironment environment;
        double weight = 1;
        bool failed = false;
        std::uint64_t sequence = 0;
        std::vector<std::pair<Instant, Item>> outbox;
        std::vector<Caller> waiting;
    };

    bool isLoanMessage(const LedgerAction& action)
    {
        return !std::holds_alternative<SendRaise>(action) && !std::holds_alternative<SendCeilingsAcked>(action)
            && !std::holds_alternative<SendCeilingsRefused>(action);
    }

    class Replay {
    public:
        Replay(const ReplayScenario& scenario, const LoanTerms& terms, std::uint64_t seed)
            : scenario_(scenario)
            , load_(seed)
            , delays_(seed)
        {
            apply({ { operators, 1, OpenAccount { budget_.account, "hash" } },
                { operators, 2, TopUp { budget_, Tokens { scenario.bought } } } });
            PolicySettings settings;
            settings.watermarks = Watermarks { 8, 10 };
            settings.preallocationPercent = 50;
            settings.witnessesClose = false;
            settings.loans = terms;
            for (std::size_t index = 0; index < scenario.routers; ++index) {
                routers_.emplace_back(Incarnation { firstRouter + index }, settings, fold_);
                routers_.back().weight = index < scenario.heavy.size() ? scenario.heavy.at(index) : 1;
                routers_.back().holder.preallocate(budget_);
            }
            for (std::size_t index = 0; index < scenario.routers; ++index)
                connect(index);
        }

        ReplayResult run()
        {
            every(tickPeriod, [this] { tick(); });
            every(logPeriod, [this] { readLog(); });
            at(1s, [this] { arrive(); });
            if (scenario_.failAt)
                at(*scenario_.failAt, [this] { fail(routers_.front()); });
            if (scenario_.moveAt)
                at(*scenario_.moveAt, [this] { moveLoad(); });
            while (!events_.empty() && events_.top().at <= Instant { runTime }) {
                const Event event = events_.top();
                events_.pop();
                now_ = event.at;
                event.run();
            }
            EXPECT_LE(fold_.budget(budget_)->held, Tokens { scenario_.bought });
            EXPECT_LE(reservedOrBilled_, scenario_.bought);
            EXPECT_EQ(fold_.inconsistency(), "");
            return result_;
        }

    private:
        struct Event {
            Instant at;
            std::uint64_t number;
            std::function<void()> run;
            bool operator<(const Event& other) const { return std::tie(other.at, other.number) < std::tie(at, number); }
        };

        void at(Duration time, std::function<void()> run)
        {
            events_.push({ Instant { time }, ++scheduled_, std::move(run) });
        }
        void after(Duration time, std::function<void()> run) { at(now_.time_since_epoch() + time, std::move(run)); }
        void every(Duration period, const std::function<void()>& run)
        {
            after(period, [this, period, run] {
                run();
                every(period, run);
            });
        }
        double draw() { return std::uniform_real_distribution<double>(0, 1)(load_); }
        bool logReachable() const
        {
            const Duration time = now_.time_since_epoch();
            return std::ranges::none_of(
                outageStarts, [time](Duration start) { return time >= start && time < start + outageLength; });
        }

        // Lenders of the own domain come first, in an order of their own for each router, as in the membership.
        void connect(std::size_t index)
        {
            Router& router = routers_.at(index);
            router.environment.routers = static_cast<std::uint32_t>(scenario_.routers);
            router.environment.witness = routers_.at((index + domains) % scenario_.routers).id;
            std::vector<std::pair<std::size_t, Incarnation>> order;
            for (std::size_t other = 0; other < scenario_.routers; ++other) {
                const std::size_t rank = (other * 7919 + index * 104'729) % 1'000'003;
                if (other != index)
                    order.emplace_back(rank + (other % domains == index % domains ? 0 : 1'000'003), routers_[other].id);
            }
            std::ranges::sort(order);
            for (const auto& [rank, id] : order)
                router.environment.lenders.push_back(id);
        }

        void apply(std::vector<Item> items)
        {
            std::vector<Effect> effects;
            ASSERT_TRUE(fold_.apply(fold_.nextOffset(), Batch { rulesVersion, std::move(items) }, effects));
            for (Router& router : routers_) {
                LedgerActions actions;
                for (const Effect& effect : effects) {
                    router.witness.onEffect(effect, actions);
                    router.holder.onEffect(effect, now_, actions);
                }
                execute(router, actions);
            }
        }

        void readLog()
        {
            if (!logReachable())
                return;
            for (Router& router : routers_) {
                std::vector<Item> items;
                const auto isDue = [this](const auto& item) { return now_ - item.first >= logPeriod; };
                const auto end = std::ranges::find_if_not(router.outbox, isDue);
                std::transform(router.outbox.begin(), end, std::back_inserter(items), [](auto& i) { return i.second; });
                router.outbox.erase(router.outbox.begin(), end);
                if (!items.empty())
                    apply(std::move(items));
            }
        }

        void tick()
        {
            for (Router& router : routers_) {
                router.environment.logReachable = logReachable();
                LedgerActions actions;
                if (!router.failed)
                    router.holder.onTick(now_, router.environment, actions);
                execute(router, actions);
                retryWaiting(router);
            }
        }

        void arrive()
        {
            double total = 0;
            for (const Router& router : routers_)
                total += router.failed ? 0 : router.weight;
            double pick = draw() * total;
            const auto chosen = std::ranges::find_if(
                routers_, [&](const Router& router) { return !router.failed && (pick -= router.weight) <= 0; });
            const Tokens cost { std::llround(minCost * std::pow(maxCost / minCost, draw())) };
            const Duration limit = tokenWaitLimits.at(load_() % tokenWaitLimits.size());
            Router& router = chosen == routers_.end() ? routers_.back() : *chosen;
            ++result_.requests;
            const Tokens billed { std::max<std::int64_t>(
                std::llround(static_cast<double>(cost.value()) * draw() * 2 / 3), 1) };
            const Duration answerTime = std::chrono::milliseconds(200 + load_() % 1000);
            router.waiting.push_back({ RequestKey { 1, result_.requests }, cost, now_, limit, billed, answerTime });
            retryWaiting(router);
            const double pause = -std::log(1 - draw()) / scenario_.requestsPerSecond;
            after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause)), [this] { arrive(); });
        }

        void retryWaiting(Router& router)
        {
            for (const Caller& caller : std::exchange(router.waiting, {})) {
                if (!router.failed)
                    serve(router, caller);
            }
        }

        void serve(Router& router, const Caller& caller)
        {
            LedgerActions actions;
            const auto reserved = router.holder.reserve(budget_, caller.key, caller.maxCost, now_, actions);
            if (const auto* const reservation = std::get_if<Reservation>(&reserved)) {
                ++(caller.since == now_ ? result_.atOnce : result_.afterWait);
                reservedOrBilled_ += reservation->amount.value();
                run(router, *reservation, caller);
            } else if (std::get<Shortage>(reserved).pending && now_ - caller.since < caller.limit) {
                router.waiting.push_back(caller);
            } else {
                refuse(router, caller);
            }
            execute(router, actions);
        }

        void run(Router& router, const Reservation& reservation, const Caller& caller)
        {
            after(caller.answerTime, [this, &router, reservation, cost = caller.cost] {
                if (router.failed)
                    return;
                LedgerActions actions;
                reservedOrBilled_ -= (reservation.amount - cost).value();
                router.holder.settle(reservation, cost, actions);
                execute(router, actions);
            });
        }

        void refuse(Router& router, const Caller& caller)
        {
            router.holder.withdraw(budget_, caller.key, now_);
            ++result_.refused;
            ++result_.refusedByRouter[router.id.value() - firstRouter];
            ++result_.refusedBySecond[now_.time_since_epoch() / 1s];
            result_.refusedElsewhere += std::ranges::any_of(routers_, [&](const Router& other) {
                return !other.failed && other.holder.spendable(budget_) >= caller.maxCost;
            });
        }

        void fail(Router& router)
        {
            router.failed = true;
            for (const HoldingView& view : router.holder.holdings()) {
                result_.lost += (view.ceiling - view.billed - view.lent).value();
                result_.lostLoans += view.borrowed > Tokens {} ? (view.amount - view.billed).value() : 0;
            }
            for (Router& other : routers_)
                std::erase(other.environment.lenders, router.id);
        }

        void moveLoad()
        {
            for (std::size_t index = 0; index < scenario_.heavy.size(); ++index)
                std::swap(routers_.at(index).weight, routers_.at(routers_.size() - 1 - index).weight);
        }

        void execute(Router& router, LedgerActions& actions)
        {
            bool retry = false;
            for (const LedgerAction& action : actions) {
                if (const auto* const entry = std::get_if<AppendEntry>(&action))
                    router.outbox.emplace_back(now_, Item { router.id, ++router.sequence, entry->entry });
                else if (std::holds_alternative<TokensAvailable>(action))
                    retry = true;
                else
                    send(router, action);
            }
            actions.clear();
            if (retry && !router.waiting.empty())
                after(0ms, [this, &router] { retryWaiting(router); });
        }

        void send(const Router& from, const LedgerAction& action)
        {
            const auto to = std::visit(
                [](const auto& message) -> std::optional<Incarnation> {
                    if constexpr (requires { message.to; })
                        return message.to;
                    return {};
                },
                action);
            if (!to)
                return;
            if (isLoanMessage(action)) {
                const std::uint64_t inThisSecond = ++messagesBySecond_[now_.time_since_epoch() / 1s];
                ++result_.loanMessages;
                result_.peakLoanMessages = std::max(result_.peakLoanMessages, inThisSecond);
            }
            result_.loans += std::holds_alternative<SendLoanGiven>(action);
            Router& receiver = routers_.at(to->value() - firstRouter);
            after(std::chrono::microseconds(1000 + delays_() % 2001),
                [this, &receiver, id = from.id, action] { receive(receiver, id, action); });
        }

        void receive(Router& router, Incarnation from, const LedgerAction& action)
        {
            if (router.failed)
                return;
            LedgerActions out;
            Holder& holder = router.holder;
            if (const auto* const raise = std::get_if<SendRaise>(&action))
                router.witness.onRaise(from, raise->ceilings, out);
            else if (const auto* const acked = std::get_if<SendCeilingsAcked>(&action))
                holder.onCeilingsAcked(from, acked->ceilings, now_, out);
            else if (const auto* const refused = std::get_if<SendCeilingsRefused>(&action))
                holder.onCeilingsRefused(from, refused->grants, now_, out);
            else if (const auto* const ask = std::get_if<SendLoanAsk>(&action))
                holder.onLoanAsk(from, ask->loan, ask->budget, ask->amount, now_, out);
            else if (const auto* const given = std::get_if<SendLoanGiven>(&action))
                holder.onLoanGiven(
                    from, given->loan, given->budget, given->grant, given->amount, now_, out, given->holderOnly);
            else if (const auto* const denied = std::get_if<SendLoanDenied>(&action))
                holder.onLoanDenied(from, denied->loan, denied->budget, denied->free, now_, out);
            else if (const auto* const done = std::get_if<SendLoanDone>(&action))
                holder.onLoanDone(from, done->loan, done->billed, now_, out);
            else if (const auto* const doneAcked = std::get_if<SendLoanDoneAcked>(&action))
                holder.onLoanDoneAcked(from, doneAcked->loan, now_, out);
            execute(router, out);
        }

        static constexpr Incarnation operators { 1 };
        const BudgetRef budget_ { AccountId { "account" }, BudgetId { "budget" } };
        const ReplayScenario& scenario_;
        /** The load doesn't depend on what the routers do, so that all ways get the same load. */
        std::mt19937_64 load_;
        std::mt19937_64 delays_;
        Fold fold_;
        std::deque<Router> routers_;
        std::priority_queue<Event> events_;
        std::uint64_t scheduled_ = 0;
        Instant now_ {};
        ReplayResult result_;
        std::int64_t reservedOrBilled_ = 0;
        std::map<std::int64_t, std::uint64_t> messagesBySecond_;
    };

} // namespace

ReplayResult replay(const ReplayScenario& scenario, const LoanTerms& terms, std::uint64_t seed)
{
    return Replay(scenario, terms, seed).run();
}

} // namespace swiftlift::ledger
