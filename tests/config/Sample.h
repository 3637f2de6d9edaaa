#pragma once

#include <string>

namespace swiftlift::config::test {

/**
 * @param service Name of the service.
 * @param cost Cost of a call in tokens; tests use the cost to distinguish revisions.
 * @return A valid document of a plain service.
 */
[[nodiscard]] inline std::string document(const std::string& service, int cost = 1)
{
    return "service: " + service
        + "\nkind: plain\naccounts:\n  - { account: north-club, budget: fair-week }\nlimits: { call_cost: "
        + std::to_string(cost) + " }\nbackends:\n  - { address: \"127.0.2.1:9000\", domain: regina-a }\n";
}

} // namespace swiftlift::config::test
