#include "swiftlift/routing/FairQueue.h"

#include <chrono>
#include <map>
#include <string>

#include <gtest/gtest.h>

#include "swiftlift/routing/Admission.h"

namespace swiftlift::routing {
namespace {

    using namespace std::chrono_literals;

    class FairQueueTest : public testing::Test {
    protected:
        WaitingCall call(const std::string& account, std::int64_t cost = 100, std::uint32_t weight = 1,
            Priority priority = Priority::Normal, Duration deadline = 30s)
        {
            return { CallId { ++lastCall_ }, AccountId { account }, weight, Tokens { cost }, priority,
                now_ + deadline };
        }

        bool push(FairQueue& queue, const WaitingCall& waiting) { return queue.push(waiting, now_).accepted; }

        /** @return Tokens served to each account by popping calls. */
        std::map<AccountId, Tokens> popTokens(FairQueue& queue, int times)
        {
            std::map<AccountId, Tokens> served;
            for (int i = 0; i < times; ++i) {
                if (const auto next = queue.pop(now_)) {
                    served[next->account] += next->cost;
                }
            }
            return served;
        }

        Instant now_ { 100s };
        std::uint64_t lastCall_ = 0;
    };

    // Guards against refusing nine client accounts that send a few requests each because a tenth account has filled the
    // queue with a flood, as it would in a queue in order of arrival.
    TEST_F(FairQueueTest, FloodDelaysOnlyTheFloodingAccount)
    {
        FairQueue queue { 100 };
        int refused = 0;
        for (int i = 0; i < 500; ++i) {
            refused += push(queue, call("flood")) ? 0 : 1;
        }
        EXPECT_EQ(refused, 400);
        for (int club = 0; club < 9; ++club) {
            for (int i = 0; i < 5; ++i) {
                const PushResult result = queue.push(call("club" + std::to_string(club)), now_);
                EXPECT_TRUE(result.accepted);
                EXPECT_EQ(result.displaced.size(), 1U);
            }
        }
        EXPECT_EQ(queue.size(), 100U);
        EXPECT_EQ(queue.sizeOf(AccountId { "flood" }), 55U);
        const auto served = popTokens(queue, 50);
        EXPECT_EQ(served.at(AccountId { "flood" }), Tokens { 500 });
        for (int club = 0; club < 9; ++club) {
            EXPECT_EQ(served.at(AccountId { "club" + std::to_string(club) }), Tokens { 500 });
        }
    }

    TEST_F(FairQueueTest, SharesTokensByWeightNotRequests)
    {
        FairQueue queue { 1'000 };
        for (int i = 0; i < 300; ++i) {
            (void)push(queue, call("large", 400, 2));
            (void)push(queue, call("small", 100, 1));
        }
        const auto served = popTokens(queue, 150);
        const double ratio = static_cast<double>(served.at(AccountId { "large" }).value())
            / static_cast<double>(served.at(AccountId { "small" }).value());
        EXPECT_NEAR(ratio, 2.0, 0.1);
    }

    TEST_F(FairQueueTest, PriorityOrdersAnAccountsOwnCallsOnly)
    {
        FairQueue queue { 100 };
        const WaitingCall batch = call("a", 100, 1, Priority::Batch);
        const WaitingCall normal = call("a");
        const WaitingCall urgent = call("a", 100, 1, Priority::Interactive);
        for (const WaitingCall& waiting : { batch, normal, urgent }) {
            (void)push(queue, waiting);
        }
        for (int i = 0; i < 10; ++i) {
            (void)push(queue, call("b", 100, 1, Priority::Interactive));
        }
        std::vector<CallId> ofA;
        for (int i = 0; i < 6; ++i) {
            const auto next = queue.pop(now_);
            if (next->account == AccountId { "a" }) {
                ofA.push_back(next->call);
            }
        }
        EXPECT_EQ(ofA, (std::vector { urgent.call, normal.call, batch.call }))
            << "every second served call is of account a";
    }

    // Guards against an account that gets more than its share by sending one call at a time: the service it received
    // must still count when its next call arrives after its line was empty.
    TEST_F(FairQueueTest, AccountWithoutWaitingCallsKeepsItsStartTime)
    {
        FairQueue queue { 1'000 };
        for (int i = 0; i < 100; ++i) {
            (void)push(queue, call("steady"));
        }
        std::map<AccountId, int> served;
        (void)push(queue, call("sly"));
        for (int i = 0; i < 60; ++i) {
            const auto next = queue.pop(now_);
            ++served[next->account];
            if (next->account == AccountId { "sly" }) {
                (void)push(queue, call("sly"));
            }
        }
        EXPECT_LE(served[AccountId { "sly" }], 31);
    }

    TEST_F(FairQueueTest, RemovesAndExpires)
    {
        FairQueue queue { 10 };
        const WaitingCall removed = call("a");
        const WaitingCall expiring = call("a", 100, 1, Priority::Normal, 1s);
        const WaitingCall remaining = call("b");
        for (const WaitingCall& waiting : { removed, expiring, remaining }) {
            (void)push(queue, waiting);
        }
        EXPECT_TRUE(queue.remove(removed.call));
        EXPECT_FALSE(queue.remove(removed.call));
        EXPECT_TRUE(queue.expire(now_ + 500ms, 100ms).empty());
        EXPECT_EQ(queue.expire(now_ + 950ms, 100ms), std::vector { expiring.call });
        EXPECT_EQ(queue.pop(now_)->call, remaining.call);
        EXPECT_EQ(queue.pop(now_), std::nullopt);
    }

    class AdmissionTest : public FairQueueTest {
    protected:
        /** Fills the queue and drains it at 1,000 tokens a second for three seconds. */
        void warmUp(Admission& admission)
        {
            for (int i = 0; i < 60; ++i) {
                (void)admission.admit(call("warm"), std::nullopt, now_);
            }
            for (int i = 0; i < 30; ++i) {
                now_ += 100ms;
                (void)admission.queue().pop(now_);
            }
        }
    };

    TEST_F(AdmissionTest, DispatchesWhenNoCallWaitsAndQueuesOtherwise)
    {
        Admission admission { 10 };
        EXPECT_EQ(admission.admit(call("a"), 5ms, now_).verdict, AdmissionVerdict::Dispatch);
        EXPECT_EQ(admission.admit(call("a"), std::nullopt, now_).verdict, AdmissionVerdict::Wait);
        EXPECT_EQ(admission.admit(call("b"), 5ms, now_).verdict, AdmissionVerdict::Wait)
            << "another call waits already";
    }

    TEST_F(AdmissionTest, RefusesRequestsThatCannotMeetTheirDeadline)
    {
        Admission admission { 100 };
        const auto direct = admission.admit(call("a", 100, 1, Priority::Normal, 50ms), 80ms, now_);
        EXPECT_EQ(direct.refusal, AdmissionRefusal::DeadlineTooShort);
        warmUp(admission);
        const auto queued = admission.admit(call("warm", 100, 1, Priority::Normal, 2s), std::nullopt, now_);
        EXPECT_EQ(queued.refusal, AdmissionRefusal::DeadlineTooShort)
            << "3,000 tokens of waiting calls are ahead of the call";
        EXPECT_GT(queued.retryAfter, 2s);
        EXPECT_LT(queued.retryAfter, 4s);
        const auto other = admission.admit(call("b", 100, 1, Priority::Normal, 2s), std::nullopt, now_);
        EXPECT_EQ(other.verdict, AdmissionVerdict::Wait) << "the account has no calls waiting";
    }

    // Guards against refusing the first request after an hour without requests for its deadline: the time in which
    // the queue was empty must not lower the measured drain rate.
    TEST_F(AdmissionTest, TimeWithAnEmptyQueueDoesNotLowerTheDrainRate)
    {
        Admission admission { 100 };
        warmUp(admission);
        while (admission.queue().pop(now_)) { }
        now_ += std::chrono::hours(1);
        for (int i = 0; i < 5; ++i) {
            EXPECT_EQ(admission.admit(call("a", 100, 1, Priority::Normal, 2s), std::nullopt, now_).verdict,
                AdmissionVerdict::Wait);
        }
    }

    TEST_F(AdmissionTest, DistinguishesAccountOverShareFromOverload)
    {
        Admission admission { 4 };
        for (int i = 0; i < 4; ++i) {
            (void)admission.admit(call("a"), std::nullopt, now_);
        }
        const auto flood = admission.admit(call("a"), std::nullopt, now_);
        EXPECT_EQ(flood.refusal, AdmissionRefusal::AccountOverShare);
        EXPECT_GT(flood.retryAfter, 0s);
        for (const std::string account : { "b", "c", "d" }) {
            EXPECT_EQ(admission.admit(call(account), std::nullopt, now_).displaced.size(), 1U);
        }
        EXPECT_EQ(admission.admit(call("e"), std::nullopt, now_).refusal, AdmissionRefusal::Overloaded);
    }

    // Guards against a queue that stands still because the request whose turn it is fits at no server, and against an
    // account that gets more than its share because its neighbour's requests are passed over.
    TEST_F(FairQueueTest, CallsThatCannotGoAreOvertakenInFairOrder)
    {
        FairQueue queue { 100 };
        const WaitingCall large = call("a", 1'000);
        const WaitingCall small = call("a", 100);
        const WaitingCall first = call("b", 100);
        const WaitingCall second = call("b", 100);
        for (const WaitingCall& waiting : { large, small, first, second }) {
            EXPECT_TRUE(push(queue, waiting));
        }
        FairQueue::PassedOver passedOver;
        EXPECT_EQ(queue.peek(passedOver)->call, large.call);
        queue.passOver(large.call, passedOver);
        EXPECT_EQ(queue.peek(passedOver)->call, small.call);
        EXPECT_TRUE(queue.take(small.call, now_));
        EXPECT_EQ(queue.peek(passedOver)->call, first.call);
        queue.passOver(first.call, passedOver);
        EXPECT_EQ(queue.peek(passedOver)->call, second.call);
        queue.passOver(second.call, passedOver);
        EXPECT_FALSE(queue.peek(passedOver));
        EXPECT_EQ(queue.peek()->call, first.call) << "account a has been served, so it is b's turn";
    }

} // namespace
} // namespace swiftlift::routing
