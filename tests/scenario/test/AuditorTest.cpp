#include "Auditor.h"

#include <gtest/gtest.h>

#include "engine/Answer.h"
#include "swiftlift/transport/Hashing.h"

// The auditor is what the scenarios' verdicts rest on: each test gives it evidence with one fault and expects it found.
namespace swiftlift::scenario {

namespace {

    constexpr std::int64_t promptTokens = 2;
    constexpr std::int64_t answerTokens = 3;
    constexpr std::int64_t bill = promptTokens + answerTokens;

    class AuditorTest : public testing::Test {
    protected:
        AuditorTest()
        {
            evidence_.budgetOf[{ "drafts", "league" }] = "fair";
            buy(100);
        }

        void buy(std::int64_t tokens)
        {
            evidence_.purchases.push_back({ "league", "fair", tokens, at(0) });
            evidence_.ledger.budgets[budget()].bought += Tokens(tokens);
        }

        static BudgetRef budget() { return { AccountId("league"), BudgetId("fair") }; }
        static RequestKey key(const std::string& id)
        {
            return transport::requestKey(AccountId("league"), CallerRequestId(id));
        }
        static Moment at(int milliseconds) { return Moment(Milliseconds(milliseconds)); }

        static Call call(const std::string& id)
        {
            Call call;
            call.vm = "regina-a-1";
            call.account = "league";
            call.service = "drafts";
            call.id = id;
            call.prompt = "club 77";
            call.maxTokens = answerTokens;
            return call;
        }

        static Answer answered(int sent, int ended)
        {
            Answer answer;
            answer.outcome = CallOutcome::Answered;
            answer.promptTokens = promptTokens;
            answer.answerTokens = answerTokens;
            answer.billedTokens = bill;
            for (std::uint64_t i = 0; i < answerTokens; ++i)
                answer.text += standins::answerToken("club 77", i);
            answer.sentAt = at(sent);
            answer.endedAt = at(ended);
            return answer;
        }

        static Answer refused(int sent, int ended, const std::string& reason)
        {
            Answer answer;
            answer.outcome = CallOutcome::Refused;
            answer.notRun = true;
            answer.reason = reason;
            answer.sentAt = at(sent);
            answer.endedAt = at(ended);
            return answer;
        }

        void see(const Call& call, const Answer& answer) { evidence_.observations.push_back({ call, answer }); }
        void runs(const std::string& id, std::int64_t started)
        {
            evidence_.runs[transport::toHex(key(id))].push_back({ "engine", started, started });
        }
        void billInLog(const std::string& id, int counted, std::int64_t tokens = bill)
        {
            evidence_.ledger.bills[key(id)] = { counted, 0, Tokens(tokens) };
            evidence_.ledger.budgets[budget()].billed += Tokens(tokens);
        }
        void answerWell(const std::string& id, int sent = 1, int ended = 2)
        {
            see(call(id), answered(sent, ended));
            runs(id, 1);
            billInLog(id, 1);
        }

        std::int64_t count(const std::string& name) const { return audit(evidence_).value(name); }

        Evidence evidence_;
    };

    TEST_F(AuditorTest, FindsNothingInAGoodRun)
    {
        answerWell("a");
        for (const auto& count : audit(evidence_).counts)
            EXPECT_EQ(count.value, count.name == "answered" ? 1 : 0) << count.name;
    }

    TEST_F(AuditorTest, FindsOverspendByAnswersThatTheLogNeverSaw)
    {
        evidence_.ledger.budgets[budget()].bought = Tokens(bill);
        answerWell("a");
        see(call("b"), answered(1, 2));
        EXPECT_EQ(count("overspend"), bill);
        EXPECT_EQ(count("unbilled"), 1);
    }

    TEST_F(AuditorTest, FindsOverspendByTheLog)
    {
        evidence_.ledger.budgets[budget()].billed = Tokens(101);
        EXPECT_EQ(count("overspend"), 1);
    }

    TEST_F(AuditorTest, CountsARepeatedAnswerOnce)
    {
        evidence_.ledger.budgets[budget()].bought = Tokens(bill);
        answerWell("a");
        see(call("a"), answered(3, 4));
        EXPECT_EQ(count("overspend"), 0);
    }

    TEST_F(AuditorTest, FindsDoubleBilling)
    {
        answerWell("a");
        evidence_.ledger.bills[key("a")].counted = 2;
        EXPECT_EQ(count("double_billed"), 1);
    }

    TEST_F(AuditorTest, FindsABillThatDiffersFromTheAnswer)
    {
        answerWell("a");
        evidence_.ledger.bills[key("a")].tokens = Tokens(bill + 1);
        EXPECT_EQ(count("bill_mismatch"), 1);
    }

    TEST_F(AuditorTest, FindsAnAnswerThatIsAnothers)
    {
        answerWell("a");
        evidence_.observations.back().answer.text = standins::answerToken("another prompt", 0);
        EXPECT_EQ(count("wrong_answers"), 1);
    }

    TEST_F(AuditorTest, FindsAnAnswerThatIsNotWhole)
    {
        answerWell("a");
        evidence_.observations.back().answer.text.pop_back();
        EXPECT_EQ(count("wrong_answers"), 1);
    }

    TEST_F(AuditorTest, FindsARunThatWasCalledNotRun)
    {
        see(call("a"), refused(1, 2, "overloaded"));
        runs("a", 1);
        EXPECT_EQ(count("not_run_but_run"), 1);
    }

    TEST_F(AuditorTest, AllowsARunThatTheCallerAskedForAfterARefusal)
    {
        see(call("a"), refused(1, 2, "overloaded"));
        answerWell("a", 3, 4);
        EXPECT_EQ(count("not_run_but_run"), 0);
    }

    TEST_F(AuditorTest, FindsANonIdempotentRequestRunTwice)
    {
        Call order = call("a");
        order.idempotent = false;
        see(order, answered(1, 2));
        billInLog("a", 1);
        runs("a", 1);
        runs("a", 1);
        EXPECT_EQ(count("non_idempotent_again"), 1);
        EXPECT_EQ(count("runs_again"), 0);
    }

    TEST_F(AuditorTest, FindsAFalseRefusal)
    {
        see(call("a"), refused(5, 6, "budget_elsewhere"));
        EXPECT_EQ(count("false_refusals"), 1);
    }

    TEST_F(AuditorTest, TakesARefusalForAnEmptyBudgetAsHonest)
    {
        evidence_.purchases = { { "league", "fair", 2 * bill - 1, at(0) } };
        answerWell("a");
        see(call("b"), refused(5, 6, "budget_exhausted"));
        EXPECT_EQ(count("refused_for_budget"), 1);
        EXPECT_EQ(count("false_refusals"), 0);
    }

    TEST_F(AuditorTest, TellsMoneyInFlightFromMoneyUnspent)
    {
        evidence_.purchases = { { "league", "fair", 2 * bill - 1, at(0) } };
        answerWell("a", 1, 10);
        see(call("b"), refused(5, 6, "budget_elsewhere"));
        EXPECT_EQ(count("false_refusals"), 1);
        EXPECT_EQ(count("false_refusals_in_flight"), 0);
    }

    TEST_F(AuditorTest, FindsABillForARequestThatNobodySawAnswered)
    {
        see(call("a"), refused(1, 2, "overloaded"));
        billInLog("a", 1);
        EXPECT_EQ(count("billed_unanswered"), 1);
    }

} // namespace

} // namespace swiftlift::scenario
