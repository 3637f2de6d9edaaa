#include "ledger/Checkpoint.h"

#include <limits>
#include <map>
#include <utility>
#include <vector>

#include "checkpoint.pb.h"
#include "swiftlift/ledger/Entry.h"

namespace swiftlift::ledger::internal {

namespace {

    namespace pb = swiftlift::proto::checkpoint;

    using BudgetIndex = std::map<BudgetRef, std::uint32_t>;

    void writeAccounts(const Books& books, pb::State& out)
    {
        for (const auto& [id, account] : books.accounts()) {
            pb::Account& written = *out.add_accounts();
            written.set_account(id.value());
            written.set_key_hash(account.keyHash);
            written.set_closed(account.closed);
            written.set_revision(account.revision.value());
        }
    }

    BudgetIndex writeBudgets(const Books& books, pb::State& out)
    {
        BudgetIndex index;
        for (const auto& [ref, book] : books.budgets()) {
            index.emplace(ref, static_cast<std::uint32_t>(index.size()));
            pb::Budget& written = *out.add_budgets();
            written.mutable_budget()->set_account(ref.account.value());
            written.mutable_budget()->set_budget(ref.budget.value());
            written.set_bought(book.view.bought.value());
            written.set_closed(book.closed.value());
        }
        return index;
    }

    void writeGrants(const Books& books, const BudgetIndex& index, pb::State& out)
    {
        for (const auto& [id, grant] : books.grants()) {
            pb::OpenGrant& written = *out.add_grants();
            written.mutable_grant()->set_holder(id.holder.value());
            written.mutable_grant()->set_number(id.number);
            written.set_budget(index.at(grant.budget));
            written.set_sealed(grant.state == GrantState::Sealed);
            written.set_amount(grant.amount.value());
            written.set_billed(grant.billed.value());
            written.set_floor(grant.floor.value());
            written.set_ceiling(grant.ceiling.value());
            written.set_witness(grant.witness.value());
        }
    }

    void writeOrigins(const Origins& origins, pb::State& out)
    {
        for (const auto& [turn, id] : origins.bySilence()) {
            const Origin& origin = *origins.find(id);
            pb::Origin& written = *out.add_origins();
            written.set_origin(id.value());
            written.set_last_sequence(origin.lastSequence);
            written.set_highest_grant(origin.highestGrant);
            written.set_retired(origin.retired);
        }
    }

    void writeKeys(const FoldState& state, pb::State& out)
    {
        for (const RequestKey& key : state.bills.order()) {
            out.add_bill_keys(key.high);
            out.add_bill_keys(key.low);
            out.add_bill_tokens(state.bills.find(key)->value());
        }
        for (const RequestKey& key : state.claims.order()) {
            out.add_claim_keys(key.high);
            out.add_claim_keys(key.low);
            out.add_claim_owners(state.claims.find(key)->value());
        }
    }

    /** Reads one state; the first thing that is wrong stops it. */
    class Reader {
    public:
        Reader(const pb::State& in, const FoldLimits& limits)
            : in_(in)
            , state_(limits)
        {
        }

        [[nodiscard]] std::optional<FoldState> read(const FoldLimits& limits, std::string& reason)
        {
            reason_ = &reason;
            if (!readHead(limits) || !readAccounts() || !readBudgets() || !readOrigins() || !readGrants()
                || !readBills() || !readClaims() || !checkSums())
                return {};
            return std::move(state_);
        }

    private:
        bool fail(std::string reason)
        {
            *reason_ = std::move(reason);
            return false;
        }

        bool readHead(const FoldLimits& limits)
        {
            if (in_.rules_version() == 0 || in_.rules_version() > rulesVersion)
                return fail("its rules have version " + std::to_string(in_.rules_version()));
            if (in_.key_window() != limits.keys || in_.origin_window() != limits.origins)
                return fail("it was written with other limits");
            return true;
        }

        bool readAccounts()
        {
            for (const pb::Account& account : in_.accounts()) {
                const AccountId id { account.account() };
                if (state_.books.account(id))
                    return fail("an account stands twice");
                state_.books.addAccount(
                    id, AccountView { account.key_hash(), account.closed(), Offset { account.revision() } });
            }
            return true;
        }

        bool readBudgets()
        {
            for (const pb::Budget& budget : in_.budgets()) {
                BudgetRef ref { AccountId { budget.budget().account() }, BudgetId { budget.budget().budget() } };
                if (!state_.books.account(ref.account) || state_.books.budgets().contains(ref))
                    return fail("a budget has no account, or stands twice");
                if (budget.closed() < 0 || budget.closed() > budget.bought())
                    return fail("a budget is out of bounds");
                state_.books.credit(ref, Tokens { budget.bought() });
                state_.books.addClosed(ref, Tokens { budget.closed() });
                budgets_.push_back(std::move(ref));
            }
            return true;
        }

        bool readOrigins()
        {
            for (const pb::Origin& origin : in_.origins()) {
                Origin read;
                read.lastSequence = origin.last_sequence();
                read.highestGrant = origin.highest_grant();
                read.retired = origin.retired();
                if (!state_.origins.add(Incarnation { origin.origin() }, read))
                    return fail("an author stands twice");
            }
            return true;
        }

        bool readGrants()
        {
            for (const pb::OpenGrant& grant : in_.grants()) {
                const GrantId id { Incarnation { grant.grant().holder() }, grant.grant().number() };
                const Origin* const holder = state_.origins.find(id.holder);
                if (grant.budget() >= budgets_.size() || state_.books.grant(id))
                    return fail("a grant has no budget, or stands twice");
                if (!holder || id.number > holder->highestGrant)
                    return fail("a grant has no holder");
                if (!addGrant(id, grant))
                    return fail("a grant is out of bounds");
                ++state_.origins.at(id.holder).openGrants;
            }
            return true;
        }

        bool addGrant(const GrantId& id, const pb::OpenGrant& grant)
        {
            GrantView view;
            view.id = id;
            view.budget = budgets_.at(grant.budget());
            view.state = grant.sealed() ? GrantState::Sealed : GrantState::Open;
            view.amount = Tokens { grant.amount() };
            view.billed = Tokens { grant.billed() };
            view.floor = Tokens { grant.floor() };
            view.ceiling = Tokens { grant.ceiling() };
            view.witness = Incarnation { grant.witness() };
            // Checked before the sum is made: it could not be counted if it passed the largest number.
            if (view.held() < Tokens {} || view.held() > state_.books.available(view.budget))
                return false;
            if (view.billed < Tokens {} || view.billed > view.held() || view.floor < Tokens {})
                return false;
            state_.books.addGrant(view);
            return true;
        }

        bool readBills()
        {
            const int count = in_.bill_tokens_size();
            if (in_.bill_keys_size() != 2 * count || static_cast<std::size_t>(count) > state_.bills.limit())
                return fail("the billed keys don't match their tokens");
            for (int i = 0; i < count; ++i) {
                const RequestKey key { in_.bill_keys(2 * i), in_.bill_keys(2 * i + 1) };
                if (in_.bill_tokens(i) < 0 || !state_.bills.add(key, Tokens { in_.bill_tokens(i) }))
                    return fail("a billed key stands twice, or is out of bounds");
            }
            return true;
        }

        bool readClaims()
        {
            const int count = in_.claim_owners_size();
            if (in_.claim_keys_size() != 2 * count || static_cast<std::size_t>(count) > state_.claims.limit())
                return fail("the claimed keys don't match their owners");
            for (int i = 0; i < count; ++i) {
                const RequestKey key { in_.claim_keys(2 * i), in_.claim_keys(2 * i + 1) };
                if (!state_.claims.add(key, Incarnation { in_.claim_owners(i) }))
                    return fail("a claimed key stands twice");
            }
            return true;
        }

        bool checkSums()
        {
            const std::string finding = state_.books.inconsistency();
            return finding.empty() || fail(finding);
        }

        const pb::State& in_;
        FoldState state_;
        std::vector<BudgetRef> budgets_;
        std::string* reason_ = nullptr;
    };

} // namespace

std::string encodeState(const FoldState& state)
{
    // No field is a protobuf map, whose order would differ from run to run.
    pb::State out;
    out.set_rules_version(rulesVersion);
    out.set_key_window(state.bills.limit());
    out.set_origin_window(state.origins.limit());
    writeAccounts(state.books, out);
    const BudgetIndex index = writeBudgets(state.books, out);
    writeGrants(state.books, index, out);
    writeOrigins(state.origins, out);
    writeKeys(state, out);
    return out.SerializeAsString();
}

std::optional<FoldState> decodeState(std::string_view bytes, const FoldLimits& limits, std::string& reason)
{
    pb::State in;
    if (bytes.size() > static_cast<std::size_t>(std::numeric_limits<int>::max())
        || !in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        reason = "the bytes are no state";
        return {};
    }
    return Reader(in, limits).read(limits, reason);
}

} // namespace swiftlift::ledger::internal
