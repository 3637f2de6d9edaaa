#pragma once

#include <cstdint>
#include <optional>

#include "ctl/Log.h"
#include "ctl/Report.h"
#include "ctl/Routers.h"
#include "swiftlift/base/Ids.h"

namespace swiftlift::ctl {

/** @brief Lists the client accounts in the ledger. */
[[nodiscard]] Report listAccounts(Log& log, std::uint32_t shards);

/**
 * @brief Lists the bought, billed, held and free tokens of the budgets in the ledger, and the holders of their grants.
 * @param account Account whose budgets are listed; `std::nullopt`: all accounts.
 * @param names VMs of the holders; may be incomplete.
 */
[[nodiscard]] Report listBudgets(
    Log& log, std::uint32_t shards, const std::optional<AccountId>& account, const VmNames& names);

/** @brief Lists the services in force. */
[[nodiscard]] Report listServices(Log& log);

/** @brief Prints a service's document in force. */
[[nodiscard]] Report showService(Log& log, const ServiceName& service);

/** @brief Lists a service's revisions, oldest first. */
[[nodiscard]] Report serviceHistory(Log& log, const ServiceName& service);

} // namespace swiftlift::ctl
