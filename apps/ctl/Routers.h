#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "ctl/Report.h"
#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/settings/Endpoint.h"

namespace swiftlift::ctl {

/** One router's answer to a query. */
struct RouterAnswer {
    settings::Endpoint router;
    /** The answer; `std::nullopt` if there was none, see `reason`. */
    std::optional<nlohmann::json> json;
    std::string reason;
};

using RouterAnswers = std::vector<RouterAnswer>;

/** Queries the state of routers at their operators' addresses; see docs/PROTOCOLS.md section 7. */
class Routers {
public:
    Routers() = default;
    Routers(const Routers&) = delete;
    Routers& operator=(const Routers&) = delete;
    virtual ~Routers() = default;

    /** @return Each router's answer, in the order of the settings. */
    [[nodiscard]] virtual RouterAnswers queryAll(const std::string& target) = 0;
};

/** Queries the routers over HTTP. */
class HttpRouters final : public Routers {
public:
    HttpRouters(std::vector<settings::Endpoint> routers, Duration timeout);

    [[nodiscard]] RouterAnswers queryAll(const std::string& target) override;

private:
    std::vector<settings::Endpoint> routers_;
    Duration timeout_;
};

/** @brief Reports the status of each router. */
[[nodiscard]] Report routerStatus(Routers& routers);

/**
 * @brief Reports the VMs or the backend servers that the routers know. Routers that are cut off from each other know
 * different ones, so each row names the routers that reported it.
 * @param topic `vms` or `backends`.
 */
[[nodiscard]] Report routerViews(Routers& routers, const std::string& topic);

/** @brief Reports the decisions of every router on a caller's request. */
[[nodiscard]] Report explainRequest(Routers& routers, const std::string& request);

/** Maps each incarnation, in hex, to the peer address of its VM. */
using VmNames = std::map<std::string, std::string>;

/** @return The VMs of all incarnations that the reachable routers know. */
[[nodiscard]] VmNames vmNames(Routers& routers);

/**
 * @brief Adds the tokens that the reachable routers hold now to a report of the ledger.
 * @param account Account whose holdings are added; `std::nullopt`: all accounts.
 */
void addHoldings(Routers& routers, const std::optional<AccountId>& account, Report& report);

} // namespace swiftlift::ctl
