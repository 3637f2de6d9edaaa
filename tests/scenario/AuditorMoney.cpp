#include "AuditorMoney.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "engine/Answer.h"

namespace swiftlift::scenario {

namespace internal {

    constexpr std::size_t shownCases = 5;

    using Budget = std::pair<std::string, std::string>;

    /** A request's bill, from its first answer that came. */
    struct Spending {
        Moment sentAt;
        Moment endedAt;
        std::int64_t tokens = 0;
    };

    /** What all answers together spent of one budget, and what was bought for it, in time. */
    class BudgetHistory {
    public:
        void bought(Moment at, std::int64_t tokens) { purchases_.emplace_back(at, tokens); }
        void spent(const Spending& spending) { spendings_.push_back(spending); }

        [[nodiscard]] std::int64_t boughtBy(Moment moment) const
        {
            std::int64_t sum = 0;
            for (const auto& [at, tokens] : purchases_)
                sum += at <= moment ? tokens : 0;
            return sum;
        }

        /** @return Billed by answers that had come by then. */
        [[nodiscard]] std::int64_t billedBy(Moment moment) const
        {
            std::int64_t sum = 0;
            for (const auto& spending : spendings_)
                sum += spending.endedAt <= moment ? spending.tokens : 0;
            return sum;
        }

        /** @return Billed in the end to requests that had been sent by then. */
        [[nodiscard]] std::int64_t committedBy(Moment moment) const
        {
            std::int64_t sum = 0;
            for (const auto& spending : spendings_)
                sum += spending.sentAt <= moment ? spending.tokens : 0;
            return sum;
        }

    private:
        std::vector<std::pair<Moment, std::int64_t>> purchases_;
        std::vector<Spending> spendings_;
    };

    class MoneyAudit {
    public:
        MoneyAudit(const Evidence& evidence, std::map<std::string, AuditCount>& counts)
            : evidence_(evidence)
            , counts_(counts)
        {
        }

        void run()
        {
            for (const auto& purchase : evidence_.purchases)
                histories_[{ purchase.account, purchase.budget }].bought(purchase.at, purchase.tokens);
            collectSpending();
            checkOverspend();
            for (const auto& observation : evidence_.observations)
                checkRefusal(observation);
        }

    private:
        void add(const std::string& name, std::int64_t value, const std::string& what)
        {
            AuditCount& count = counts_.at(name);
            count.value += value;
            if (count.cases.size() < shownCases)
                count.cases.push_back(what);
        }

        const Budget* budgetOf(const Call& call)
        {
            const auto found = evidence_.budgetOf.find({ call.service, call.account });
            if (found == evidence_.budgetOf.end())
                return nullptr;
            return &*budgets_.emplace(call.account, found->second).first;
        }

        /** A request is spent once, at its first answer; callers that ask again are told the same bill. */
        void collectSpending()
        {
            std::map<std::pair<std::string, std::string>, std::pair<const Observation*, Spending>> first;
            for (const auto& observation : evidence_.observations) {
                const auto& [call, answer] = observation;
                if (answer.outcome != CallOutcome::Answered)
                    continue;
                auto [place, isNew] = first.try_emplace({ call.account, call.id }, &observation,
                    Spending { answer.sentAt, answer.endedAt, answer.billedTokens });
                if (!isNew && answer.endedAt < place->second.second.endedAt)
                    place->second = { &observation, { answer.sentAt, answer.endedAt, answer.billedTokens } };
            }
            for (const auto& [id, entry] : first) {
                if (const Budget* budget = budgetOf(entry.first->call))
                    histories_[*budget].spent(entry.second);
            }
        }

        void checkOverspend()
        {
            for (const auto& [budget, history] : histories_) {
                const std::int64_t excess = history.billedBy(Moment::max()) - boughtByLog(budget).value();
                if (excess > 0)
                    add("overspend", excess, budget.first + "/" + budget.second + ", by answers");
            }
            for (const auto& [ref, truth] : evidence_.ledger.budgets) {
                if (truth.billed > truth.bought)
                    add("overspend", (truth.billed - truth.bought).value(),
                        ref.account.value() + "/" + ref.budget.value() + ", by the log");
            }
            if (evidence_.ledger.grantsOverdrawn > 0)
                add("grants_overdrawn", static_cast<std::int64_t>(evidence_.ledger.grantsOverdrawn), "by the log");
        }

        /** @return What the log says was bought: a purchase whose confirmation was lost counts too. */
        Tokens boughtByLog(const Budget& budget) const
        {
            const auto found = evidence_.ledger.budgets.find({ AccountId(budget.first), BudgetId(budget.second) });
            return found == evidence_.ledger.budgets.end() ? Tokens() : found->second.bought;
        }

        /** @return The most that the call could have cost. */
        std::int64_t mostOf(const Call& call) const
        {
            if (call.model)
                return static_cast<std::int64_t>(standins::promptTokenCount(call.prompt)) + call.maxTokens;
            const auto found = evidence_.callCost.find(call.service);
            return found == evidence_.callCost.end() ? 0 : found->second;
        }

        void checkRefusal(const Observation& observation)
        {
            const auto& [call, answer] = observation;
            if (answer.reason != "budget_exhausted" && answer.reason != "budget_elsewhere")
                return;
            const std::string what = call.account + "/" + call.id + " at " + call.vm + ": " + answer.reason;
            add("refused_for_budget", 1, what);
            const Budget* budget = budgetOf(call);
            if (!budget)
                return;
            // Money that came while the call was under way would have been of no use to an earlier decision.
            const auto& history = histories_[*budget];
            const std::int64_t bought = history.boughtBy(answer.sentAt);
            const std::int64_t most = mostOf(call);
            if (bought - history.billedBy(answer.endedAt) >= most)
                add("false_refusals", 1, what);
            if (bought - history.committedBy(answer.endedAt) >= most)
                add("false_refusals_in_flight", 1, what);
        }

        const Evidence& evidence_;
        std::map<std::string, AuditCount>& counts_;
        std::map<Budget, BudgetHistory> histories_;
        std::set<Budget> budgets_;
    };

} // namespace internal

void auditMoney(const Evidence& evidence, std::map<std::string, AuditCount>& counts)
{
    internal::MoneyAudit(evidence, counts).run();
}

} // namespace swiftlift::scenario
