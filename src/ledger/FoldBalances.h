#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/ledger/Fold.h"

namespace swiftlift::ledger::internal {

struct BudgetBook {
    BudgetView view;
    /** What the closed grants were billed, and thus hold for good. */
    Tokens closed;
};

/**
 * @brief Accounts, budgets and the grants that are not closed, with their sums.
 *
 * Whether a change is allowed is decided by `Rules`; here the sums follow each change.
 */
class Books {
public:
    using Accounts = std::map<AccountId, AccountView>;
    using Budgets = std::map<BudgetRef, BudgetBook>;
    using Grants = std::map<GrantId, GrantView>;

    [[nodiscard]] const Accounts& accounts() const noexcept { return accounts_; }
    [[nodiscard]] const Budgets& budgets() const noexcept { return budgets_; }
    [[nodiscard]] const Grants& grants() const noexcept { return grants_; }

    /** @return The account, or null. */
    [[nodiscard]] AccountView* account(const AccountId& id);
    /** @return The grant when it is open or sealed, or null. */
    [[nodiscard]] GrantView* grant(const GrantId& id);
    /** @return What a draw could take; zero for a budget that is not known. */
    [[nodiscard]] Tokens available(const BudgetRef& ref) const;

    void addAccount(const AccountId& id, AccountView account);
    /** @brief Adds to what was bought; makes the budget when it is new. */
    void credit(const BudgetRef& ref, Tokens amount);
    /** @brief Adds a grant of a known budget, with what it holds and was billed. */
    void addGrant(const GrantView& grant);
    /** @brief Adds what closed grants were billed, from a checkpoint. */
    void addClosed(const BudgetRef& ref, Tokens billed);

    void giveBack(GrantView& grant, Tokens amount);
    void seal(GrantView& grant, Tokens ceiling);
    void charge(GrantView& grant, Tokens tokens);
    /** @brief Closes the grant and forgets it; the budget keeps what it was billed. */
    void close(const GrantView& grant);

    /** @return What is wrong with the sums; empty when they are sound. */
    [[nodiscard]] std::string inconsistency() const;

private:
    Accounts accounts_;
    Budgets budgets_;
    Grants grants_;
};

} // namespace swiftlift::ledger::internal
