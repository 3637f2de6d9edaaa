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

/** What one router says. */
struct RouterAnswer {
    settings::Endpoint router;
    /** Nothing: see `reason`. */
    std::optional<nlohmann::json> json;
    std::string reason;
};

using RouterAnswers = std::vector<RouterAnswer>;

/** Asks routers what they know, over their operators' address; see docs/PROTOCOLS.md section 7. */
class Routers {
public:
    Routers() = default;
    Routers(const Routers&) = delete;
    Routers& operator=(const Routers&) = delete;
    virtual ~Routers() = default;

    /** @return Each router's answer, in the order of the settings. */
    [[nodiscard]] virtual RouterAnswers askAll(const std::string& target) = 0;
};

class HttpRouters final : public Routers {
public:
    HttpRouters(std::vector<settings::Endpoint> routers, Duration timeout);

    [[nodiscard]] RouterAnswers askAll(const std::string& target) override;

private:
    std::vector<settings::Endpoint> routers_;
    Duration timeout_;
};

/** @brief What each router says of itself. */
[[nodiscard]] Report routerStatus(Routers& routers);

/**
 * @brief What the routers see: `vms` or `backends`. Cut off from each other, they see different things; each row says
 * who sees it.
 */
[[nodiscard]] Report routerViews(Routers& routers, const std::string& topic);

/** @brief The decisions of every router on a caller's request. */
[[nodiscard]] Report explainRequest(Routers& routers, const std::string& request);

/** VM of each incarnation that the reachable routers know, by its peer address. */
using VmNames = std::map<std::string, std::string>;

[[nodiscard]] VmNames vmNames(Routers& routers);

/**
 * @brief Adds what the reachable routers hold now to a report of the ledger.
 * @param account Only of this account; nothing: of all.
 */
void addHoldings(Routers& routers, const std::optional<AccountId>& account, Report& report);

} // namespace swiftlift::ctl
