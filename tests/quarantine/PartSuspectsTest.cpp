#include "swiftlift/quarantine/PartSuspects.h"

#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace swiftlift::quarantine {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr PromptPart first { 1, 10 };
    constexpr PromptPart company { 1, 20 };
    constexpr PromptPart guilty { 1, 666 };
    constexpr PromptPart alsoGuilty { 1, 667 };
    constexpr PromptPart rare { 1, 30 };

    class PartSuspectsTest : public testing::Test {
    protected:
        /** A server ends under requests with these parts. */
        void end(const std::vector<PromptPart>& parts, bool isOld = false)
        {
            const Report report { { Incarnation { 1 }, ++reports_ }, {},
                BackendInstance { BackendId("s" + std::to_string(reports_)), 0 }, parts };
            suspects_.onReport(report, isOld, now_);
        }

        /** Requests with these parts are answered that were sent now. */
        void answer(const std::vector<PromptPart>& parts, int times = 1)
        {
            for (int number = 0; number < times; ++number) {
                (void)suspects_.onAnswered(parts, now_, now_);
            }
        }

        /** Asks whether the part is held back, and reports it if that is new, as its router does. */
        [[nodiscard]] bool isHeldBack(const PromptPart& part)
        {
            const auto held = suspects_.heldBack({ part }, now_);
            if (held && held->isNew) {
                suspects_.onReport(
                    { { Incarnation { 1 }, ++reports_ }, {}, std::nullopt, { part }, true }, false, now_);
            }
            return held.has_value();
        }

        PartSuspects suspects_;
        Instant now_ { seconds(1000) };
        std::uint64_t reports_ = 0;
    };

    TEST_F(PartSuspectsTest, PartUnderWhichServersEndIsHeldBack)
    {
        answer({ first, company });
        for (int number = 0; number < 4; ++number) {
            EXPECT_FALSE(isHeldBack(guilty));
            end({ first, company, guilty });
            now_ += milliseconds(200);
            answer({ first, company });
        }
        const auto held = suspects_.heldBack({ first, company, guilty }, now_);
        ASSERT_TRUE(held);
        EXPECT_EQ(held->part, guilty);
        EXPECT_EQ(held->serversEnded, 4U);
        EXPECT_TRUE(held->isNew);
        EXPECT_FALSE(isHeldBack(first) || isHeldBack(company));
    }

    // Guards against sound parts that are held back as most servers end so fast that nothing is answered in between.
    TEST_F(PartSuspectsTest, FortyEndsInASecondHoldBackNoSoundPart)
    {
        answer({ first, company });
        for (int number = 0; number < 40; ++number) {
            end({ first, company, guilty });
            now_ += milliseconds(25);
        }
        EXPECT_TRUE(isHeldBack(guilty));
        now_ += seconds(3);
        EXPECT_FALSE(isHeldBack(first) || isHeldBack(company));
    }

    // Guards against a part that nobody has asked for before, and that is lost beside the guilty one in most ends.
    TEST_F(PartSuspectsTest, NewPartInBadCompanyIsNotHeldBack)
    {
        answer({ first });
        for (int number = 0; number < 10; ++number) {
            end(number % 5 == 0 ? std::vector { first, guilty } : std::vector { first, guilty, rare });
            now_ += milliseconds(60);
            EXPECT_FALSE(isHeldBack(rare));
        }
        EXPECT_TRUE(isHeldBack(guilty));
        now_ += seconds(60);
        EXPECT_FALSE(isHeldBack(rare));
    }

    // Guards against a second guilty part that the first one hides.
    TEST_F(PartSuspectsTest, TwoGuiltyPartsAreBothHeldBack)
    {
        answer({ first });
        for (int number = 0; number < 6; ++number) {
            end({ first, guilty });
            end({ first, alsoGuilty });
            now_ += milliseconds(300);
            answer({ first });
        }
        EXPECT_TRUE(isHeldBack(guilty));
        EXPECT_TRUE(isHeldBack(alsoGuilty));
        EXPECT_FALSE(isHeldBack(first));
    }

    // Guards against a part that was sound and has turned guilty, while requests that began before are still answered.
    TEST_F(PartSuspectsTest, PartThatTurnsGuiltyIsHeldBackOnceOthersAreAnswered)
    {
        answer({ first, guilty });
        const Instant before = now_;
        now_ += seconds(1);
        for (int number = 0; number < 5; ++number) {
            end({ first, guilty });
            now_ += milliseconds(100);
            (void)suspects_.onAnswered({ first, guilty }, before, now_);
        }
        answer({ first }, 30);
        EXPECT_FALSE(isHeldBack(guilty));
        now_ += seconds(2);
        EXPECT_TRUE(isHeldBack(guilty));
        EXPECT_FALSE(isHeldBack(first));
    }

    // Guards against sound parts that are held back after an outage in which no server could answer anything.
    TEST_F(PartSuspectsTest, PartThatWasAnsweredIsNotHeldBackWhileNothingIsAnswered)
    {
        answer({ first });
        for (int number = 0; number < 10; ++number) {
            end({ first });
        }
        now_ += seconds(20);
        EXPECT_FALSE(isHeldBack(first));
    }

    // Guards against a router that has just started and takes the parts that all requests share for guilty.
    TEST_F(PartSuspectsTest, EndsReadFromTheLogGiveSoundPartsTheirChance)
    {
        for (int number = 0; number < 10; ++number) {
            end({ first, guilty }, true);
        }
        now_ += seconds(1);
        EXPECT_FALSE(isHeldBack(first));
        answer({ first }, 30);
        now_ += seconds(2);
        EXPECT_FALSE(isHeldBack(first));
        EXPECT_TRUE(isHeldBack(guilty));
    }

    // Guards against a router that has just started and holds back a sound part for all, as it knows only the ends that
    // the log keeps, which no request with the part had caused: others had seen it answered and reported so.
    TEST_F(PartSuspectsTest, EndsReadFromTheLogDontCountIfThePartWasAnsweredAfterwards)
    {
        const Report answered { { Incarnation { 2 }, 1 }, {}, std::nullopt, { rare }, false };
        for (int number = 0; number < 9; ++number) {
            end({ first, rare }, true);
            if (number == 4) {
                suspects_.onReport(answered, true, now_);
            }
        }
        now_ += seconds(3);
        answer({ first }, 30);
        EXPECT_FALSE(isHeldBack(rare));
        for (int number = 0; number < 6; ++number) {
            end({ first, rare });
            now_ += milliseconds(200);
            answer({ first }, 10);
        }
        now_ += seconds(3);
        EXPECT_TRUE(isHeldBack(rare));
    }

    // Guards against a router that has not seen the ends itself and sends what the others hold back.
    TEST_F(PartSuspectsTest, PartThatAnotherRouterHoldsBackIsHeldBack)
    {
        suspects_.onReport({ { Incarnation { 2 }, 1 }, {}, std::nullopt, { guilty }, true }, true, now_);
        EXPECT_TRUE(isHeldBack(guilty));
        now_ += std::chrono::minutes(61);
        suspects_.expire(now_);
        EXPECT_FALSE(isHeldBack(guilty));
    }

    // Guards against the first parts of all requests being held back as a failure domain is lost right after a start.
    TEST_F(PartSuspectsTest, ServersThatEndAtOnceAreOneMoment)
    {
        for (int number = 0; number < 10; ++number) {
            end({ first, company });
            now_ += milliseconds(10);
        }
        now_ += seconds(10);
        EXPECT_FALSE(isHeldBack(first) || isHeldBack(company));
    }

    // Guards against a router without a memory that has all others refuse what they have just seen answered.
    TEST_F(PartSuspectsTest, VerdictOnAPartThatWasAnsweredHereIsNotTaken)
    {
        answer({ first });
        suspects_.onReport({ { Incarnation { 2 }, 1 }, {}, std::nullopt, { first }, true }, false, now_);
        EXPECT_FALSE(isHeldBack(first));
    }

    // Guards against a part that stays held back although the router that found it has withdrawn that.
    TEST_F(PartSuspectsTest, WithdrawnVerdictEnds)
    {
        suspects_.onReport({ { Incarnation { 2 }, 1 }, {}, std::nullopt, { guilty }, true }, false, now_);
        EXPECT_TRUE(isHeldBack(guilty));
        suspects_.onWithdrawn({ Incarnation { 2 }, 1 });
        EXPECT_FALSE(isHeldBack(guilty));
    }

    // Guards against a verdict that nobody withdraws, since its part was answered at a router that knew of no ends.
    TEST_F(PartSuspectsTest, AnswerNamesTheVerdictsThatItEnds)
    {
        const ReportId verdicts[] = { { Incarnation { 2 }, 1 }, { Incarnation { 3 }, 1 } };
        for (const ReportId& id : verdicts) {
            suspects_.onReport({ id, {}, std::nullopt, { first }, true }, false, now_);
        }
        const auto cleared = suspects_.onAnswered({ first, company }, now_, now_);
        ASSERT_EQ(cleared.size(), 1U);
        EXPECT_EQ(cleared[0].part, first);
        EXPECT_EQ(cleared[0].verdicts, std::vector<ReportId>(std::begin(verdicts), std::end(verdicts)));
        EXPECT_FALSE(isHeldBack(first));
    }

    // Guards against a suspicion that rests on servers that still run.
    TEST_F(PartSuspectsTest, WithdrawnReportsDontCount)
    {
        for (int number = 0; number < 4; ++number) {
            end({ guilty });
        }
        now_ += seconds(1);
        suspects_.onWithdrawn({ Incarnation { 1 }, 1 });
        EXPECT_FALSE(isHeldBack(guilty));
        EXPECT_EQ(suspects_.serversEnded(guilty), 3U);
    }

    // Guards against a guilty part that is forgotten as every other prompt is new.
    TEST_F(PartSuspectsTest, ManyNewPartsDisplaceNoRepeatedSuspect)
    {
        end({ guilty });
        end({ guilty });
        for (std::uint64_t number = 0; number < 20'000; ++number) {
            end({ PromptPart { 2, number } });
            answer({ PromptPart { 3, number } });
        }
        EXPECT_EQ(suspects_.serversEnded(guilty), 2U);
        EXPECT_LE(suspects_.suspects(), PartLimits {}.maxSuspects);
        EXPECT_LE(suspects_.answered(), PartLimits {}.maxAnswered);
    }

    // Guards against sound parts that are held back on some days: random company, ends and answers of many seeds.
    TEST_F(PartSuspectsTest, RandomDaysHoldBackGuiltyPartsOnly)
    {
        for (unsigned seed = 1; seed <= 200; ++seed) {
            PartSuspects suspects;
            std::mt19937 random(seed);
            Instant now { seconds(1000) };
            const auto draw = [&] {
                return std::vector { PromptPart { 1, random() % 3 }, PromptPart { 1, 100 + random() % 60 } };
            };
            for (int number = 0; number < 300; ++number) {
                (void)suspects.onAnswered(draw(), now, now);
            }
            std::size_t endsUntilHeldBack = 0;
            for (std::uint64_t server = 1; server <= 60; ++server) {
                std::vector<PromptPart> lost { PromptPart { 1, random() % 3 }, guilty };
                for (unsigned beside = random() % 30; beside > 0; --beside) {
                    const auto parts = draw();
                    lost.insert(lost.end(), parts.begin(), parts.end());
                }
                suspects.onReport({ { Incarnation { 1 }, server }, {},
                                      BackendInstance { BackendId(std::to_string(server)), 0 }, lost },
                    false, now);
                now += milliseconds(20 + random() % 600);
                for (unsigned answers = random() % 40; answers > 0; --answers) {
                    const auto parts = draw();
                    EXPECT_FALSE(suspects.heldBack(parts, now)) << "seed " << seed;
                    (void)suspects.onAnswered(parts, now, now);
                }
                if (suspects.heldBack({ guilty }, now)) {
                    endsUntilHeldBack = server;
                    break;
                }
            }
            EXPECT_GT(endsUntilHeldBack, 0U) << "seed " << seed;
            EXPECT_LE(endsUntilHeldBack, 8U) << "seed " << seed;
        }
    }

} // namespace
} // namespace swiftlift::quarantine
