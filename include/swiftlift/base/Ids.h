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
/** Id that the caller gave a request; unique within the client account. */
using CallerRequestId = StrongType<struct CallerRequestIdTag, std::string>;
/** Random id of one run of a router process, from start to end; never reused. 0 stands for no router. */
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
/** Address at which other routers reach a router, as `ip:port`. */
using PeerAddress = StrongType<struct PeerAddressTag, std::string>;
/** Id of a backend server: the id of its instance if the server reports an instance id, otherwise its address. */
using BackendId = StrongType<struct BackendIdTag, std::string>;
/** Network address of a backend server, as `ip:port`. */
using BackendAddress = StrongType<struct BackendAddressTag, std::string>;
/** Address at which a router relays other routers' connections to backend servers, as `ip:port`. */
using RelayAddress = StrongType<struct RelayAddressTag, std::string>;
/** Number that a router's transport assigns to a connection that it relays; unique within the process. */
using RelayId = StrongType<struct RelayIdTag, std::uint64_t>;
/** Version of the software of a backend server; empty: not stated. */
using SoftwareVersion = StrongType<struct SoftwareVersionTag, std::string>;
/** Id of the caller's attempt that brought a stream's first event. */
using StreamId = StrongType<struct StreamIdTag, std::string>;
/** Name of a route of the fleet's configuration. */
using RouteName = StrongType<struct RouteNameTag, std::string>;
/** Name of a failure domain. */
using FailureDomain = StrongType<struct FailureDomainTag, std::string>;
/** Name of a region. */
using Region = StrongType<struct RegionTag, std::string>;
/** Position of a record in a stream of the platform's log. */
using Offset = StrongType<struct OffsetTag, std::uint64_t>;
/** Name of a stream of the platform's log. */
using StreamName = StrongType<struct StreamNameTag, std::string>;
/** Id of one attempt of a router to run one request on one backend server; unique within an incarnation. */
using AttemptId = StrongType<struct AttemptIdTag, std::uint64_t>;
/** Number that the router's transport assigns to a caller's request in progress; unique within an incarnation. */
using CallId = StrongType<struct CallIdTag, std::uint64_t>;

/** Identifies a budget by its client account and its name. */
struct BudgetRef {
    AccountId account;
    BudgetId budget;

    [[nodiscard]] auto operator<=>(const BudgetRef&) const = default;
};

/** Identifies a grant: tokens drawn from a budget by one incarnation. Only that incarnation may lend or spend them. */
struct GrantId {
    Incarnation holder;
    /** Number of the grant, unique within its holder. */
    std::uint32_t number = 0;

    [[nodiscard]] auto operator<=>(const GrantId&) const = default;
};

/** Identifies a caller's request: 128-bit hash of the client account and the caller's request id. */
struct RequestKey {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    [[nodiscard]] auto operator<=>(const RequestKey&) const = default;
};

/** First 128 bits of the SHA-256 of a request's content; request id and caller are not part of the hashed content. */
struct ContentDigest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    [[nodiscard]] auto operator<=>(const ContentDigest&) const = default;
};

} // namespace swiftlift

template <> struct std::hash<swiftlift::BudgetRef> {
    [[nodiscard]] std::size_t operator()(const swiftlift::BudgetRef& ref) const
    {
        constexpr std::size_t multiplier = 0x9E3779B97F4A7C15U;
        return std::hash<std::string> {}(ref.account.value()) * multiplier
            + std::hash<std::string> {}(ref.budget.value());
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
