#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/ledger/Fold.h"

namespace swiftlift::ledger::internal {

/** A budget's sums, with the part that closed grants contribute. */
struct BudgetBalance {
    BudgetView view;
    /** Sum of the bills of closed grants, in tokens. These tokens stay held for good. */
    Tokens billedToClosedGrants;
};

/**
 * @brief Stores accounts, budgets and the grants that are not closed, and updates the budgets' sums with each change.
 *
 * The caller, `FoldRules`, checks whether a change is allowed.
 */
class Balances {
public:
    using Accounts = std::map<AccountId, AccountView>;
    using Budgets = std::map<BudgetRef, BudgetBalance>;
    using Grants = std::map<GrantId, GrantView>;

    [[nodiscard]] const Accounts& accounts() const noexcept { return accounts_; }
    [[nodiscard]] const Budgets& budgets() const noexcept { return budgets_; }
    [[nodiscard]] const Grants& grants() const noexcept { return grants_; }

    /** @return The account, or null when it does not exist. */
    [[nodiscard]] AccountView* account(const AccountId& id);
    /** @return The grant when it is open or sealed; null otherwise. */
    [[nodiscard]] GrantView* grant(const GrantId& id);
    /** @return Tokens that a draw could take; zero when the budget does not exist. */
    [[nodiscard]] Tokens available(const BudgetRef& ref) const;

    void addAccount(const AccountId& id, AccountView account);
    /** @brief Adds bought tokens to a budget, and creates the budget when it does not exist. */
    void credit(const BudgetRef& ref, Tokens amount);
    /** @brief Adds a grant of an existing budget, and its held and billed tokens to the budget's sums. */
    void addGrant(const GrantView& grant);
    /** @brief Adds the billed tokens of closed grants, which a checkpoint states as one sum, to a budget. */
    void addBilledToClosedGrants(const BudgetRef& ref, Tokens billed);

    /** @brief Reduces an open grant by `amount`. */
    void returnTokens(GrantView& grant, Tokens amount);
    /** @brief Seals an open grant, which then holds `ceiling` tokens. */
    void seal(GrantView& grant, Tokens ceiling);
    /** @brief Adds `tokens` to the billed tokens of a grant and its budget. */
    void charge(GrantView& grant, Tokens tokens);
    /** @brief Removes a grant. Its billed tokens stay in the budget's sums. */
    void close(const GrantView& grant);

    /** @return Description of the first inconsistent sum; empty when all sums are consistent. */
    [[nodiscard]] std::string inconsistency() const;

private:
    Accounts accounts_;
    Budgets budgets_;
    Grants grants_;
};

} // namespace swiftlift::ledger::internal
