#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <variant>
#include <vector>

#include "swiftlift/ledger/EntryCodec.h"
#include "swiftlift/ledger/Fold.h"

namespace swiftlift::ledger {

namespace {

    using Log = std::vector<Batch>;

    constexpr FoldLimits smallLimits { 6, 3 };
    constexpr std::uint64_t authors = 5;

    /** RapidCheck takes values from a smaller range in early test cases; here each test case has the whole range. */
    template <typename Value> Value anyInRange(Value from, Value end)
    {
        return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(from, end));
    }

    Tokens anyTokens() { return Tokens { anyInRange<std::int64_t>(-1, 60) }; }

    Tokens anyFewTokens() { return Tokens { anyInRange<std::int64_t>(-1, 12) }; }

    Incarnation anyAuthor() { return Incarnation { anyInRange<std::uint64_t>(1, authors + 1) }; }

    BudgetRef anyBudget()
    {
        return { AccountId { *rc::gen::element<std::string>("hall", "farm") },
            BudgetId { *rc::gen::weightedElement<std::string>({ { 7, "desk" }, { 1, "draft" } }) } };
    }

    RequestKey anyKey() { return { 0, anyInRange<std::uint64_t>(0, 16) }; }

    /** Generates a log: each author's batches are in order, the authors are interleaved at random, and any batch may be
     * repeated at any later position. */
    class LogWriter {
    public:
        [[nodiscard]] Log write()
        {
            const Incarnation operators { 1 };
            Log log;
            for (const char* const account : { "hall", "farm" }) {
                const BudgetRef budget { AccountId { account }, BudgetId { "desk" } };
                log.push_back(Batch { rulesVersion, { makeItem(operators, OpenAccount { budget.account, "h" }) } });
                log.push_back(Batch { rulesVersion, { makeItem(operators, TopUp { budget, Tokens { 100 } }) } });
            }
            const int size = anyInRange(0, 160);
            for (int i = 0; i < size; ++i)
                log.push_back(anyInRange(0, 4) == 0 ? *rc::gen::elementOf(log) : makeBatch());
            return log;
        }

    private:
        Item makeItem(Incarnation origin, Entry entry)
        {
            return Item { origin, ++sequences_[origin], std::move(entry) };
        }

        Batch makeBatch()
        {
            const Incarnation origin = anyAuthor();
            Batch batch;
            // In one of 100 batches, an earlier append of the author is lost for good, which leaves a gap in its
            // sequence.
            if (anyInRange(0, 100) == 0)
                ++sequences_[origin];
            for (int left = anyInRange(1, 4); left > 0; --left)
                batch.items.push_back(makeItem(origin, makeEntry(origin)));
            return batch;
        }

        GrantId ownGrant(Incarnation origin) { return { origin, anyInRange<std::uint32_t>(1, numbers_[origin] + 2) }; }

        Entry makeEntry(Incarnation origin)
        {
            const Incarnation other = anyAuthor();
            switch (*rc::gen::weightedElement<int>({ { 4, 0 }, { 6, 1 }, { 2, 2 }, { 1, 3 }, { 2, 4 }, { 3, 5 },
                { 8, 6 }, { 2, 7 }, { 2, 8 }, { 1, 9 } })) {
            case 0:
                return TopUp { anyBudget(), anyTokens() };
            case 1:
                return Draw { { origin, ++numbers_[origin] }, anyBudget(), anyTokens(), anyFewTokens(), other };
            case 2:
                return Return { ownGrant(origin), anyTokens() };
            case 3:
                return CloseGrant { ownGrant(origin) };
            case 4:
                return ChangeWitness { ownGrant(origin), other, anyTokens() };
            case 5:
                return Seal { ownGrant(other), origin, anyTokens() };
            case 6:
                return Bill { anyKey(), ownGrant(other), anyFewTokens() };
            case 7:
                return Claim { anyKey() };
            case 8:
                return VoidClaim { anyKey() };
            default:
                return CloseAccount { anyBudget().account, Offset { anyInRange<std::uint64_t>(0, 60) } };
            }
        }

        std::map<Incarnation, std::uint64_t> sequences_;
        std::map<Incarnation, std::uint32_t> numbers_;
    };

    /** Applies the records of the log from the fold's next offset to `end`, exclusive. */
    std::vector<Effect> applyUpTo(Fold& fold, const Log& log, std::size_t end)
    {
        std::vector<Effect> effects;
        for (std::size_t at = fold.nextOffset().value(); at < end; ++at)
            RC_ASSERT(fold.apply(Offset { at }, log[at], effects));
        return effects;
    }

    /** @return The log with each repeated batch replaced by an empty batch. */
    Log withoutRepeats(const Log& log)
    {
        Log first;
        for (const Batch& batch : log) {
            const bool isRepeat = std::find(first.begin(), first.end(), batch) != first.end();
            first.push_back(isRepeat ? Batch {} : batch);
        }
        return first;
    }

    std::vector<std::size_t> kindsOf(const std::vector<Effect>& effects)
    {
        std::vector<std::size_t> kinds;
        for (const Effect& effect : effects)
            kinds.push_back(effect.index());
        return kinds;
    }

} // namespace

RC_GTEST_PROP(FoldProperty, ABudgetNeverHoldsMoreThanWasBought, ())
{
    const Log log = LogWriter().write();
    Fold fold;
    std::size_t admitted = 0;
    std::size_t sealed = 0;
    for (std::size_t end = 1; end <= log.size(); ++end) {
        for (const Effect& effect : applyUpTo(fold, log, end)) {
            const DrawDecided* const draw = std::get_if<DrawDecided>(&effect);
            const GrantChanged* const change = std::get_if<GrantChanged>(&effect);
            admitted += draw && draw->admitted > Tokens {} ? 1 : 0;
            sealed += change && change->state == GrantState::Sealed ? 1 : 0;
        }
        RC_ASSERT(fold.inconsistency() == "");
        for (const BudgetRef& ref : fold.budgets()) {
            RC_ASSERT(fold.budget(ref)->billed <= fold.budget(ref)->held);
            RC_ASSERT(fold.budget(ref)->held <= fold.budget(ref)->bought);
        }
    }
    RC_CLASSIFY(admitted > 2, "at least three draws were admitted");
    RC_CLASSIFY(sealed > 0, "at least one grant was sealed");
}

RC_GTEST_PROP(FoldProperty, BillsEachKeyAtMostOnceAndAddsItToTheBudget, ())
{
    const Log log = LogWriter().write();
    Fold fold;
    std::set<RequestKey> keys;
    Tokens sum;
    for (const Effect& effect : applyUpTo(fold, log, log.size())) {
        const BillDecided* const bill = std::get_if<BillDecided>(&effect);
        if (!bill || !bill->counted)
            continue;
        RC_ASSERT(keys.insert(bill->key).second);
        RC_ASSERT(fold.billed(bill->key) == bill->tokens);
        sum += bill->tokens;
    }
    for (const BudgetRef& ref : fold.budgets())
        sum -= fold.budget(ref)->billed;
    RC_ASSERT(sum == Tokens {});
    RC_CLASSIFY(keys.size() > 2, "at least three bills counted");
}

RC_GTEST_PROP(FoldProperty, LandsEachItemOnceInOrder, ())
{
    const Log log = LogWriter().write();
    Fold fold;
    std::map<Incarnation, std::uint64_t> last;
    for (const Effect& effect : applyUpTo(fold, log, log.size())) {
        if (const Landed* const landed = std::get_if<Landed>(&effect))
            RC_ASSERT(landed->sequence == ++last[landed->origin]);
    }
}

RC_GTEST_PROP(FoldProperty, AKeyKeepsItsFirstOwnerOrIsVoid, ())
{
    const Log log = LogWriter().write();
    Fold fold;
    std::map<RequestKey, Incarnation> owners;
    for (const Effect& effect : applyUpTo(fold, log, log.size())) {
        const ClaimDecided* const claim = std::get_if<ClaimDecided>(&effect);
        if (!claim)
            continue;
        const auto [found, isFirst] = owners.emplace(claim->key, claim->owner);
        RC_ASSERT(claim->owner == found->second || claim->owner == Incarnation {});
        found->second = claim->owner;
    }
}

RC_GTEST_PROP(FoldProperty, EqualPrefixesGiveEqualCheckpoints, ())
{
    const Log log = LogWriter().write();
    Fold left(smallLimits);
    Fold right(smallLimits);
    std::string reason;
    for (std::size_t at = 0; at < log.size(); ++at) {
        std::vector<Effect> effects;
        RC_ASSERT(left.apply(Offset { at }, log[at], effects));
        RC_ASSERT(right.apply(Offset { at }, log[at], effects));
        RC_ASSERT(left.checkpoint() == right.checkpoint());
    }
}

RC_GTEST_PROP(FoldProperty, RestoringACheckpointGivesTheSameStateAsReadingAllRecords, ())
{
    const Log log = LogWriter().write();
    const FoldLimits limits = *rc::gen::element(FoldLimits {}, smallLimits);
    const auto cut = anyInRange<std::size_t>(0, log.size() + 1);
    Fold whole(limits);
    applyUpTo(whole, log, cut);
    Fold restored(limits);
    RC_ASSERT(restored.restore(whole.checkpoint()));
    RC_ASSERT(restored.checkpoint() == whole.checkpoint());
    RC_ASSERT(kindsOf(applyUpTo(restored, log, log.size())) == kindsOf(applyUpTo(whole, log, log.size())));
    RC_ASSERT(restored.checkpoint() == whole.checkpoint());
}

RC_GTEST_PROP(FoldProperty, RepeatedBatchesChangeNothing, ())
{
    const Log log = LogWriter().write();
    Fold fold;
    Fold reference;
    applyUpTo(fold, log, log.size());
    applyUpTo(reference, withoutRepeats(log), log.size());
    RC_ASSERT(fold.checkpoint() == reference.checkpoint());
}

} // namespace swiftlift::ledger
