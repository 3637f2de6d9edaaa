#include "capacity/ServiceSample.h"

#include "capacity/LedgerSample.h"

namespace swiftlift::capacity {

namespace {

    constexpr std::size_t hostsPerNet = 250;
    constexpr std::size_t netsPerService = 8;
    constexpr std::size_t budgetsPerAccount = 10;
    constexpr std::size_t firstDeadlineSeconds = 30;

} // namespace

std::string serviceName(std::size_t number) { return "service-" + std::to_string(number); }

std::string engineAddress(std::size_t service, std::size_t engine)
{
    const std::size_t net = service * netsPerService + engine / hostsPerNet;
    return "10." + std::to_string(net / hostsPerNet) + '.' + std::to_string(net % hostsPerNet) + '.'
        + std::to_string(engine % hostsPerNet + 1) + ":9000";
}

std::string serviceDocument(std::size_t number, std::size_t backends, std::size_t accounts, std::size_t revision)
{
    std::string text = "service: " + serviceName(number) + "\nkind: model\nmodel: model-" + std::to_string(number)
        + "\nlimits: { deadline: " + std::to_string(firstDeadlineSeconds + revision % firstDeadlineSeconds)
        + "s, max_waiting: 4096 }\naccounts:\n";
    for (std::size_t account = 0; account < accounts; ++account) {
        const auto budget = budgetName(account * budgetsPerAccount);
        text += "  - { account: " + budget.account.value() + ", budget: " + budget.budget.value() + " }\n";
    }
    text += "backends:\n";
    for (std::size_t backend = 0; backend < backends; ++backend) {
        text += "  - { address: \"" + engineAddress(number, backend) + "\", domain: regina-a }\n";
    }
    return text;
}

} // namespace swiftlift::capacity
