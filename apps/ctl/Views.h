#pragma once

#include <cstdint>
#include <optional>

#include "ctl/Log.h"
#include "ctl/Report.h"
#include "ctl/Routers.h"
#include "swiftlift/base/Ids.h"

namespace swiftlift::ctl {

/** @brief The client accounts, from the ledger. */
[[nodiscard]] Report listAccounts(Log& log, std::uint32_t shards);

/**
 * @brief Bought, billed, held and free tokens of the budgets, and who holds them, from the ledger.
 * @param account Only of this account; nothing: of all.
 * @param names VMs of the holders, as far as they are known.
 */
[[nodiscard]] Report listBudgets(
    Log& log, std::uint32_t shards, const std::optional<AccountId>& account, const VmNames& names);

/** @brief The services in force. */
[[nodiscard]] Report listServices(Log& log);

/** @brief A service's document in force. */
[[nodiscard]] Report showService(Log& log, const ServiceName& service);

/** @brief A service's revisions, oldest first. */
[[nodiscard]] Report serviceHistory(Log& log, const ServiceName& service);

} // namespace swiftlift::ctl
