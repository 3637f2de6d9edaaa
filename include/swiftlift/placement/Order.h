#pragma once

#include <cstdint>
#include <string>

#include "swiftlift/base/Ids.h"

namespace swiftlift::placement {

enum class OrderKind : std::uint8_t { LoadModel, UnloadModel };

enum class Urgency : std::uint8_t {
    /** Requests are refused without it. */
    Urgent,
    Convenient,
};

enum class OrderReason : std::uint8_t {
    /** Requests found no engine with the model. */
    Unserved,
    /** The engines that have the model are nearly full. */
    Busy,
    /** The engine has lost the model: it started anew, or obeyed somebody else. */
    Missing,
    /** Makes room for another model. */
    Room,
    /** The engine has the model by nobody's wish, and no room for it. */
    Unwanted,
};

/** One order to one engine, with the figures it rests on. */
struct Order {
    OrderKind kind = OrderKind::LoadModel;
    BackendId backend;
    std::string model;
    Urgency urgency = Urgency::Convenient;
    OrderReason reason = OrderReason::Busy;
    /** The engine has been told before and does not report it yet. */
    bool repeated = false;
    /** Of the engines that have the model: requests per slot. */
    double utilisation = 0;
    /** Engines that report the model. */
    std::uint32_t copies = 0;
    /** Requests that found no engine with it lately. */
    std::uint32_t unserved = 0;
};

[[nodiscard]] const char* toText(OrderKind kind) noexcept;
[[nodiscard]] const char* toText(Urgency urgency) noexcept;
[[nodiscard]] const char* toText(OrderReason reason) noexcept;

/** @return The JSON body of `POST /orders`. */
[[nodiscard]] std::string toBody(const Order& order);

} // namespace swiftlift::placement
