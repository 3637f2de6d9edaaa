#include "swiftlift/placement/Order.h"

#include <nlohmann/json.hpp>

namespace swiftlift::placement {

const char* toText(OrderKind kind) noexcept { return kind == OrderKind::LoadModel ? "load_model" : "unload_model"; }

const char* toText(Urgency urgency) noexcept { return urgency == Urgency::Urgent ? "urgent" : "convenient"; }

const char* toText(OrderReason reason) noexcept
{
    switch (reason) {
    case OrderReason::Unserved:
        return "unserved";
    case OrderReason::Busy:
        return "busy";
    case OrderReason::Missing:
        return "missing";
    case OrderReason::Room:
        return "room";
    case OrderReason::Unwanted:
        return "unwanted";
    }
    return "";
}

std::string toBody(const Order& order)
{
    const nlohmann::json body = { { "kind", toText(order.kind) }, { "name", order.model } };
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace swiftlift::placement
