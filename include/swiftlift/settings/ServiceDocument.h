#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "swiftlift/base/Finding.h"
#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::settings {

/** Kind of the backend servers that run a service's requests. */
enum class BackendKind : std::uint8_t { Model, Plain };

/**
 * What the owner of a service prefers to avoid where a policy has to choose: refused requests or overspending. Budgets
 * are never exceeded with either weighting.
 */
enum class Weighting : std::uint8_t { Refusals, Overspend };

/** A client account that may call a service, and the budget to which its calls are billed. */
struct AccountUse {
    AccountId account;
    BudgetId budget;
    /** Relative share of the service's capacity that the account gets when the capacity is insufficient. */
    std::uint32_t weight = 1;

    [[nodiscard]] bool operator==(const AccountUse&) const = default;
};

/** Limits and costs of the requests for a service. */
struct Limits {
    /** Maximum size of a request body. */
    std::size_t maxBodyBytes = 64UL * 1024;
    /** Only for model services: maximum number of prompt tokens of a request. */
    Tokens maxPromptTokens { 8192 };
    /** Only for model services: maximum number of answer tokens of a request. */
    Tokens maxAnswerTokens { 1024 };
    /** Only for plain services: cost of one call. */
    Tokens callCost;
    /** Deadline of requests that state none. */
    Duration deadline = std::chrono::seconds(30);
    /** Longest time that a backend server may take until its answer starts, and between two tokens. */
    Duration silence = std::chrono::seconds(5);
    /** Maximum number of requests that wait for a backend server at one router. */
    std::uint32_t maxWaiting = 256;

    [[nodiscard]] bool operator==(const Limits&) const = default;
};

/** Limits on retries of a request at other backend servers. */
struct Retry {
    /** Maximum number of attempts per request, including the first attempt. */
    std::uint32_t attempts = 3;
    /** Maximum number of retries, in percent of the number of first attempts. */
    std::uint32_t budgetPercent = 10;

    [[nodiscard]] bool operator==(const Retry&) const = default;
};

/** A backend server of a service. */
struct Backend {
    /** Address as `ip:port`. */
    BackendId address;
    FailureDomain domain;

    [[nodiscard]] bool operator==(const Backend&) const = default;
};

/** Configuration of a service, written by its owner; see docs/SERVICE_DOCUMENT.md. */
struct ServiceDocument {
    ServiceName service;
    BackendKind kind = BackendKind::Model;
    /** Name of the model that the backend servers have to serve; empty for a plain service. */
    std::string model;
    /** Client accounts that may call the service. */
    std::vector<AccountUse> accounts;
    Weighting weighting = Weighting::Refusals;
    Limits limits;
    Retry retry;
    std::vector<Backend> backends;

    [[nodiscard]] bool operator==(const ServiceDocument&) const = default;
};

/** Maximum size of a service document; longer documents are rejected without parsing. */
inline constexpr std::size_t maxDocumentBytes = 256UL * 1024;

/**
 * @brief Parses and checks a service's YAML document. Never throws, whatever the text.
 * @param text The whole document.
 * @param source Name of the document, for the findings.
 * @param findings Receives a finding with line and column for each error.
 * @return The document; empty if the text has errors.
 */
[[nodiscard]] std::optional<ServiceDocument> parseServiceDocument(
    std::string_view text, const std::string& source, Findings& findings);

/** @return Name of the kind in a service document: `model` or `plain`. */
[[nodiscard]] std::string_view toText(BackendKind kind) noexcept;

/** @return Name of the weighting in a service document: `refusals` or `overspend`. */
[[nodiscard]] std::string_view toText(Weighting weighting) noexcept;

} // namespace swiftlift::settings
