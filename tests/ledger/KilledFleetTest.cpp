#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <iostream>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "ledger/FoldFixture.h"
#include "swiftlift/ledger/Holder.h"

namespace swiftlift::ledger {

namespace {

    using namespace std::chrono_literals;

    constexpr std::int64_t bought = 100'000'000;
    constexpr Duration tickPeriod = 100ms;

    /** A router of the fleet under test. */
    struct Router {
        Router(Incarnation self, const Fold& fold)
            : id(self)
            , holder(self, policy(), fold)
        {
        }

        static std::unique_ptr<HoldingPolicy> policy()
        {
            PolicySettings settings;
            settings.watermarks = Watermarks { 8, 10 };
            settings.preallocationPercent = 50;
            settings.witnessesClose = false;
            return makePolicy("grants", settings);
        }

        Incarnation id;
        Holder holder;
        LedgerActions actions;
    };

    /** Fleets of routers that succeed each other: each ends without notice, so what it holds is held for good. */
    class KilledFleetTest : public FoldFixture, public testing::WithParamInterface<std::uint32_t> {
    protected:
        KilledFleetTest() { open(bought); }

        /** Ends all routers, and starts as many others that know of each other. */
        void startFleet()
        {
            routers_.clear();
            for (std::uint32_t index = 0; index < GetParam(); ++index) {
                routers_.emplace_back(Incarnation { nextIncarnation_++ }, fold);
                routers_.back().holder.preallocate(budget);
            }
            run(true);
        }

        /** Lets all routers tick at the same time, and their draws land, a few times. */
        void run(bool caughtUp)
        {
            constexpr int rounds = 5;
            for (int round = 0; round < rounds; ++round) {
                now_ += tickPeriod;
                HolderEnvironment environment;
                environment.logReachable = true;
                environment.caughtUp = caughtUp;
                environment.routers = GetParam();
                for (Router& router : routers_) {
                    router.holder.onTick(now_, environment, router.actions);
                }
                land();
            }
        }

        /** Appends what the routers have emitted, as one record, and lets all of them read it. */
        void land()
        {
            Batch batch { rulesVersion, {} };
            for (Router& router : routers_) {
                for (const LedgerAction& action : std::exchange(router.actions, {})) {
                    if (const auto* const append = std::get_if<AppendEntry>(&action))
                        batch.items.push_back({ router.id, ++sequences[router.id], append->entry });
                }
            }
            if (batch.items.empty())
                return;
            apply(batch);
            for (Router& router : routers_) {
                for (const Effect& effect : effects) {
                    router.holder.onEffect(effect, now_, router.actions);
                }
            }
        }

        /** @return Tokens that the present routers can spend in requests. */
        [[nodiscard]] Tokens spendable() const
        {
            Tokens sum;
            for (const Router& router : routers_) {
                sum += router.holder.spendable(budget);
            }
            return sum;
        }

        std::vector<Router> routers_;
        Instant now_ {};
        std::uint64_t nextIncarnation_ = 1000;
    };

} // namespace

// Failure: of three fleets that are killed before anything was billed, the third one refuses all requests, because
// each of the first two has taken half of all that was bought.
TEST_P(KilledFleetTest, EachFleetLeavesHalfOfWhatItFound)
{
    constexpr int fleets = 5;
    for (int fleet = 1; fleet <= fleets; ++fleet) {
        const Tokens found = view().available();
        startFleet();
        EXPECT_GE(view().available().value(), found.value() / 2) << "fleet " << fleet;
        EXPECT_GE(spendable().value(), found.value() * 49 / 100) << "fleet " << fleet;
        std::cout << GetParam() << " routers, fleet " << fleet << ": " << view().available() << " left, " << spendable()
                  << " held by the living\n";
    }
}

// Failure: a router that has read only the beginning of the log takes its part of a whole budget, though the rest of
// the log says that hardly anything is left.
TEST_P(KilledFleetTest, RoutersThatHaveNotCaughtUpTakeNothing)
{
    routers_.emplace_back(Incarnation { nextIncarnation_++ }, fold);
    routers_.back().holder.preallocate(budget);
    run(false);
    EXPECT_EQ(view().held, Tokens {});
    run(true);
    EXPECT_GT(view().held, Tokens {});
}

INSTANTIATE_TEST_SUITE_P(Fleets, KilledFleetTest, testing::Values(3U, 6U, 91U, 400U));

} // namespace swiftlift::ledger
