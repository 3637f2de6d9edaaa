#pragma once

#include <cstdint>
#include <string>

#include "swiftlift/base/Ids.h"

namespace swiftlift::placement {

/** What an order has the engine do. */
enum class OrderKind : std::uint8_t { LoadModel, UnloadModel };

/** How pressing an order is. Part of the load limits is reserved for urgent loads. */
enum class Urgency : std::uint8_t {
    /** Requests are refused until the order is carried out. */
    Urgent,
    /** No request is refused for lack of the order. */
    Convenient,
};

/** Why an order is given. */
enum class OrderReason : std::uint8_t {
    /** Requests found no engine with the model. */
    Unserved,
    /** The engines that have the model are nearly full. */
    Busy,
    /** The engine lost the model: it restarted, or carried out another router's order. */
    Missing,
    /** The model is unloaded to make room for another model. */
    Room,
    /** The engine has a model that is not in its desired state, and more models than its maximum. */
    Unwanted,
};

/** One order to one engine, with the figures behind the decision. */
struct Order {
    OrderKind kind = OrderKind::LoadModel;
    BackendId backend;
    std::string model;
    Urgency urgency = Urgency::Convenient;
    OrderReason reason = OrderReason::Busy;
    /** True when the order was sent before and the engine doesn't report it as carried out yet. */
    bool repeated = false;
    /** Requests per slot on the engines that have the model. */
    double utilisation = 0;
    /** Number of engines that report the model. */
    std::uint32_t copies = 0;
    /** Number of recent requests that found no engine with the model. */
    std::uint32_t unserved = 0;
};

[[nodiscard]] const char* toText(OrderKind kind) noexcept;
[[nodiscard]] const char* toText(Urgency urgency) noexcept;
[[nodiscard]] const char* toText(OrderReason reason) noexcept;

/** @return The JSON body of `POST /orders` for this order. */
[[nodiscard]] std::string toBody(const Order& order);

} // namespace swiftlift::placement
