#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "swiftlift/base/StrongType.h"

namespace swiftlift {

/** Name of a client account. */
using AccountId = StrongType<struct AccountIdTag, std::string>;
/** Name of a budget, unique within its client account. */
using BudgetId = StrongType<struct BudgetIdTag, std::string>;
/** Name of a service. */
using ServiceName = StrongType<struct ServiceNameTag, std::string>;
/** The caller's own id of a request, unique within its client account. */
using CallerRequestId = StrongType<struct CallerRequestIdTag, std::string>;
/** One life of one router process: random, never used again. 0 is nobody. */
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
/** Where a router's peers reach it, as `ip:port`. */
using PeerAddress = StrongType<struct PeerAddressTag, std::string>;
/** A backend server: its address, or the id of one life of it where it says one. */
using BackendId = StrongType<struct BackendIdTag, std::string>;
/** Where a backend server is reached, as `ip:port`. */
using BackendAddress = StrongType<struct BackendAddressTag, std::string>;
/** Name of a route of the fleet's configuration. */
using RouteName = StrongType<struct RouteNameTag, std::string>;
using FailureDomain = StrongType<struct FailureDomainTag, std::string>;
using Region = StrongType<struct RegionTag, std::string>;
/** Position of a record in a stream of the platform's log. */
using Offset = StrongType<struct OffsetTag, std::uint64_t>;
/** Name of a stream of the platform's log. */
using StreamName = StrongType<struct StreamNameTag, std::string>;
/** One try of one router to have one request run by one backend server; unique within an incarnation. */
using AttemptId = StrongType<struct AttemptIdTag, std::uint64_t>;
/** A caller's request in progress, as the router's transport numbers it; unique within an incarnation. */
using CallId = StrongType<struct CallIdTag, std::uint64_t>;

/** A budget of a client account. */
struct BudgetRef {
    AccountId account;
    BudgetId budget;

    [[nodiscard]] auto operator<=>(const BudgetRef&) const = default;
};

/** A grant: tokens taken from a budget by one incarnation, which alone may lend or spend them. */
struct GrantId {
    Incarnation holder;
    std::uint32_t number = 0;

    [[nodiscard]] auto operator<=>(const GrantId&) const = default;
};

/** 128-bit hash of client account and caller's request id. */
struct RequestKey {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    [[nodiscard]] auto operator<=>(const RequestKey&) const = default;
};

/** First 128 bits of the SHA-256 of what a request asks for; its id and its caller are not part of it. */
struct ContentDigest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    [[nodiscard]] auto operator<=>(const ContentDigest&) const = default;
};

} // namespace swiftlift

template <> struct std::hash<swiftlift::BudgetRef> {
    [[nodiscard]] std::size_t operator()(const swiftlift::BudgetRef& ref) const
    {
        constexpr std::size_t mix = 0x9E3779B97F4A7C15U;
        return std::hash<std::string> {}(ref.account.value()) * mix + std::hash<std::string> {}(ref.budget.value());
    }
};

template <> struct std::hash<swiftlift::GrantId> {
    [[nodiscard]] std::size_t operator()(const swiftlift::GrantId& id) const noexcept
    {
        return static_cast<std::size_t>(id.holder.value()) + id.number;
    }
};

template <> struct std::hash<swiftlift::RequestKey> {
    [[nodiscard]] std::size_t operator()(const swiftlift::RequestKey& key) const noexcept
    {
        return static_cast<std::size_t>(key.low);
    }
};
