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

    void writeAccounts(const Balances& balances, pb::State& out)
    {
        for (const auto& [id, account] : balances.accounts()) {
            pb::Account& written = *out.add_accounts();
            written.set_account(id.value());
            written.set_key_hash(account.keyHash);
            written.set_closed(account.closed);
            written.set_revision(account.revision.value());
        }
    }

    BudgetIndex writeBudgets(const Balances& balances, pb::State& out)
    {
        BudgetIndex index;
        for (const auto& [ref, balance] : balances.budgets()) {
            index.emplace(ref, static_cast<std::uint32_t>(index.size()));
            pb::Budget& written = *out.add_budgets();
            written.mutable_budget()->set_account(ref.account.value());
            written.mutable_budget()->set_budget(ref.budget.value());
            written.set_bought(balance.view.bought.value());
            written.set_closed(balance.billedToClosedGrants.value());
        }
        return index;
    }

    void writeGrants(const Balances& balances, const BudgetIndex& index, pb::State& out)
    {
        for (const auto& [id, grant] : balances.grants()) {
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
        for (const auto& [lastActivity, id] : origins.byLastActivity()) {
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
        for (const RequestKey& key : state.bills.keysByAge()) {
            out.add_bill_keys(key.high);
            out.add_bill_keys(key.low);
            out.add_bill_tokens(state.bills.find(key)->value());
        }
        for (const RequestKey& key : state.claims.keysByAge()) {
            out.add_claim_keys(key.high);
            out.add_claim_keys(key.low);
            out.add_claim_owners(state.claims.find(key)->value());
        }
    }

    /** Decodes one state and stops at the first error. */
    class StateReader {
    public:
        StateReader(const pb::State& in, const FoldLimits& limits)
            : in_(in)
            , state_(limits)
        {
        }

        [[nodiscard]] std::optional<FoldState> read(const FoldLimits& limits, std::string& reason)
        {
            reason_ = &reason;
            if (!readVersionAndLimits(limits) || !readAccounts() || !readBudgets() || !readOrigins() || !readGrants()
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

        bool readVersionAndLimits(const FoldLimits& limits)
        {
            if (in_.rules_version() == 0 || in_.rules_version() > rulesVersion)
                return fail("unknown rules version " + std::to_string(in_.rules_version()));
            if (in_.key_window() != limits.keys || in_.origin_window() != limits.origins)
                return fail("the writer's limits of keys and authors differ from the reader's");
            return true;
        }

        bool readAccounts()
        {
            for (const pb::Account& account : in_.accounts()) {
                const AccountId id { account.account() };
                if (state_.balances.account(id))
                    return fail("duplicate account");
                state_.balances.addAccount(
                    id, AccountView { account.key_hash(), account.closed(), Offset { account.revision() } });
            }
            return true;
        }

        bool readBudgets()
        {
            for (const pb::Budget& budget : in_.budgets()) {
                BudgetRef ref { AccountId { budget.budget().account() }, BudgetId { budget.budget().budget() } };
                if (!state_.balances.account(ref.account) || state_.balances.budgets().contains(ref))
                    return fail("duplicate budget, or budget without an account");
                if (budget.closed() < 0 || budget.closed() > budget.bought())
                    return fail(
                        "the billed tokens of a budget's closed grants must be between 0 and the tokens bought");
                state_.balances.credit(ref, Tokens { budget.bought() });
                state_.balances.addBilledToClosedGrants(ref, Tokens { budget.closed() });
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
                    return fail("duplicate author");
            }
            return true;
        }

        bool readGrants()
        {
            for (const pb::OpenGrant& grant : in_.grants()) {
                const GrantId id { Incarnation { grant.grant().holder() }, grant.grant().number() };
                const Origin* const holder = state_.origins.find(id.holder);
                if (grant.budget() >= budgets_.size() || state_.balances.grant(id))
                    return fail("duplicate grant, or grant without a budget");
                if (!holder || id.number > holder->highestGrant)
                    return fail("the holder of a grant is missing, or its highest grant number is too low");
                if (!addGrant(id, grant))
                    return fail("the held, billed or floor tokens of a grant are out of bounds");
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
            // Checked before the grant is added to the budget's sums, which could overflow otherwise.
            if (view.held() < Tokens {} || view.held() > state_.balances.available(view.budget))
                return false;
            if (view.billed < Tokens {} || view.billed > view.held() || view.floor < Tokens {})
                return false;
            state_.balances.addGrant(view);
            return true;
        }

        bool readBills()
        {
            const int count = in_.bill_tokens_size();
            if (in_.bill_keys_size() != 2 * count || static_cast<std::size_t>(count) > state_.bills.limit())
                return fail("the numbers of billed keys and of their tokens differ, or exceed the limit");
            for (int i = 0; i < count; ++i) {
                const RequestKey key { in_.bill_keys(2 * i), in_.bill_keys(2 * i + 1) };
                if (in_.bill_tokens(i) < 0 || !state_.bills.add(key, Tokens { in_.bill_tokens(i) }))
                    return fail("duplicate billed key, or negative tokens of a billed key");
            }
            return true;
        }

        bool readClaims()
        {
            const int count = in_.claim_owners_size();
            if (in_.claim_keys_size() != 2 * count || static_cast<std::size_t>(count) > state_.claims.limit())
                return fail("the numbers of claimed keys and of their owners differ, or exceed the limit");
            for (int i = 0; i < count; ++i) {
                const RequestKey key { in_.claim_keys(2 * i), in_.claim_keys(2 * i + 1) };
                if (!state_.claims.add(key, Incarnation { in_.claim_owners(i) }))
                    return fail("duplicate claimed key");
            }
            return true;
        }

        bool checkSums()
        {
            const std::string mismatch = state_.balances.inconsistency();
            return mismatch.empty() || fail(mismatch);
        }

        const pb::State& in_;
        FoldState state_;
        std::vector<BudgetRef> budgets_;
        std::string* reason_ = nullptr;
    };

} // namespace

std::string encodeState(const FoldState& state)
{
    // No field of the message is a protobuf map, because the order of a map's encoded entries differs between runs.
    pb::State out;
    out.set_rules_version(rulesVersion);
    out.set_key_window(state.bills.limit());
    out.set_origin_window(state.origins.limit());
    writeAccounts(state.balances, out);
    const BudgetIndex index = writeBudgets(state.balances, out);
    writeGrants(state.balances, index, out);
    writeOrigins(state.origins, out);
    writeKeys(state, out);
    return out.SerializeAsString();
}

std::optional<FoldState> decodeState(std::string_view bytes, const FoldLimits& limits, std::string& reason)
{
    pb::State in;
    if (bytes.size() > static_cast<std::size_t>(std::numeric_limits<int>::max())
        || !in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        reason = "the bytes are not an encoded state";
        return {};
    }
    return StateReader(in, limits).read(limits, reason);
}

} // namespace swiftlift::ledger::internal
