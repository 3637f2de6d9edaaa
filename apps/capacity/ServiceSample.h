#pragma once

#include <cstddef>
#include <string>

namespace swiftlift::capacity {

/**
 * @param number Names the service `service-NUMBER`.
 * @param backends Engines named in it.
 * @param accounts Accounts that may call it, from `accountName(0)` on, each with its `budgetName(10 * account)`.
 * @param revision Tells documents apart.
 * @return A service document of a model service.
 */
[[nodiscard]] std::string serviceDocument(
    std::size_t number, std::size_t backends, std::size_t accounts, std::size_t revision);

/** @return `service-NUMBER`. */
[[nodiscard]] std::string serviceName(std::size_t number);

/** @return Address of an engine of any service. */
[[nodiscard]] std::string engineAddress(std::size_t service, std::size_t engine);

} // namespace swiftlift::capacity
