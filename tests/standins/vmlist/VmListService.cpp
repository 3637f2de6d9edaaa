#include "vmlist/VmListService.h"

#include <set>
#include <stdexcept>

namespace swiftlift::standins {

namespace internal {

    const std::set<std::string> vmStates = { "live", "leaving" };

    /** @return The list with the members of the protocol only; throws when one is missing or wrong. */
    Json checkedVms(const Json& value)
    {
        Json vms = Json::array();
        for (const auto& vm : value) {
            const auto state = vm.at("state").get<std::string>();
            if (!vmStates.contains(state)) {
                throw std::invalid_argument("state: " + state);
            }
            vms.push_back(
                { { "peer", vm.at("peer").get<std::string>() }, { "domain", vm.at("domain").get<std::string>() },
                    { "region", vm.at("region").get<std::string>() }, { "state", state } });
        }
        return vms;
    }

    Json listReply(const Json& vms) { return { { "vms", vms } }; }

} // namespace internal

VmListService::VmListService(Milliseconds lag)
    : lag_(lag)
    , vms_(Json::array())
{
    gate_.addControls(controls());
    controls().add("set", [this](const Json& value, Json&) { vms_.set(internal::checkedVms(value)); });
    controls().add("lag_ms", [this](const Json& value, Json&) { lag_ = Milliseconds(value.get<double>()); });
}

Awaitable<void> VmListService::serve(Exchange& exchange)
{
    if (exchange.path() != "/vms") {
        co_return;
    }
    const bool entered = co_await gate_.enter(exchange);
    if (entered) {
        ++reads_;
        co_await exchange.answerJson(200, internal::listReply(vms_.seen(toClock(lag_))));
    }
}

Json VmListService::audit(const Exchange&) const
{
    return { { "vms", vms_.current() }, { "lag_ms", lag_.count() }, { "reads", reads_ }, { "refused", gate_.refused() },
        { "bytes_in", byteCounts().in }, { "bytes_out", byteCounts().out } };
}

} // namespace swiftlift::standins
