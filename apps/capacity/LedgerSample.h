#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/ledger/Entry.h"
#include "swiftlift/ledger/Fold.h"

namespace swiftlift::capacity {

/** Authors of sample entries. */
inline constexpr Incarnation operatorOrigin { 1 };
inline constexpr Incarnation firstRouter { 1000 };

[[nodiscard]] AccountId accountName(std::size_t number);
/** @return A budget; ten budgets to an account. */
[[nodiscard]] BudgetRef budgetName(std::size_t number);
[[nodiscard]] RequestKey requestKey(std::size_t number);
[[nodiscard]] ledger::OpenAccount openAccount(std::size_t number);
/** What a sample request costs: prompt and answer. */
inline constexpr Tokens sampleBill { 840 };
/** @return A bill of the first router's first grant. */
[[nodiscard]] ledger::Bill bill(std::size_t key);

/** @brief A ledger stream in memory and the fold over it. */
class LedgerSample {
public:
    /** Appends the entries as one record. */
    std::vector<ledger::Effect> append(Incarnation origin, std::vector<ledger::Entry> entries);
    /** Appends the entries in records of the outbox's size. */
    void appendAll(Incarnation origin, const std::vector<ledger::Entry>& entries);
    /** Opens the accounts of `budgets` budgets and tops each budget up. */
    void addBudgets(std::size_t budgets);
    /** Every router of `routers` draws on budgets in turn until there are `grants` open grants. */
    void addGrants(std::size_t grants, std::size_t budgets, std::size_t routers);
    /** One budget, and on it one grant of the first router that covers any number of sample bills. */
    void addLargeGrant();
    /** @return The next record of `origin`, not applied. */
    [[nodiscard]] ledger::Batch batch(Incarnation origin, std::vector<ledger::Entry> entries);

    [[nodiscard]] ledger::Fold& fold() noexcept { return fold_; }

private:
    ledger::Fold fold_;
    std::map<Incarnation, std::uint64_t> sequences_;
};

} // namespace swiftlift::capacity
