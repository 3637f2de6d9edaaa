#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "ctl/Change.h"
#include "ctl/Report.h"
#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::ctl {

/** @brief Creates a client account. @param keyHash SHA-256 of the account's key, in hex. */
[[nodiscard]] Report createAccount(
    const ChangeContext& context, std::uint32_t shards, const AccountId& account, const std::string& keyHash);

/** @brief Closes an account. @param expected Revision that the operator decided on; `std::nullopt`: the current one. */
[[nodiscard]] Report closeAccount(const ChangeContext& context, std::uint32_t shards, const AccountId& account,
    const std::optional<Offset>& expected);

/**
 * @brief Frees the unbilled tokens of a grant, after an operator confirmed that its holder's VM is permanently lost.
 * @param account Client account that owns the grant's budget.
 */
[[nodiscard]] Report writeOff(
    const ChangeContext& context, std::uint32_t shards, const AccountId& account, const GrantId& grant);

/** @brief Adds prepaid tokens; the first top-up of a budget creates it. */
[[nodiscard]] Report topUp(const ChangeContext& context, std::uint32_t shards, const BudgetRef& budget, Tokens amount);

} // namespace swiftlift::ctl
