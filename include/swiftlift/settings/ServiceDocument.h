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

/** What kind of backend server runs a service's requests. */
enum class BackendKind : std::uint8_t { Model, Plain };

/** What the owner of a service minds more, where a policy has to choose. Budgets are never exceeded either way. */
enum class Weighting : std::uint8_t { Refusals, Overspend };

/** A client account that may call a service, and the budget its calls are billed to. */
struct AccountUse {
    AccountId account;
    BudgetId budget;
    /** Share of the service when it is short, relative to the other accounts. */
    std::uint32_t weight = 1;

    [[nodiscard]] bool operator==(const AccountUse&) const = default;
};

/** Bounds of one request of a service. */
struct Limits {
    std::size_t maxBodyBytes = 64UL * 1024;
    /** Of a model service. */
    Tokens maxPromptTokens { 8192 };
    /** Of a model service. */
    Tokens maxAnswerTokens { 1024 };
    /** What one call of a plain service costs. */
    Tokens callCost;
    /** Of a request that names none. */
    Duration deadline = std::chrono::seconds(30);
    /** How long a backend server may take to answer at all, and between two tokens. */
    Duration silence = std::chrono::seconds(5);
    /** Requests that one router lets wait for a backend server. */
    std::uint32_t maxWaiting = 256;

    [[nodiscard]] bool operator==(const Limits&) const = default;
};

/** How a router tries a request again at another backend server. */
struct Retry {
    /** Attempts of one request, the first one included. */
    std::uint32_t attempts = 3;
    /** Most retries, in percent of the first attempts. */
    std::uint32_t budgetPercent = 10;

    [[nodiscard]] bool operator==(const Retry&) const = default;
};

/** A backend server of a service. */
struct Backend {
    BackendId address;
    FailureDomain domain;

    [[nodiscard]] bool operator==(const Backend&) const = default;
};

/** Everything that the owner of a service decides; see docs/SERVICE_DOCUMENT.md. */
struct ServiceDocument {
    ServiceName service;
    BackendKind kind = BackendKind::Model;
    /** Name of the model that the engines have to have loaded; empty for a plain service. */
    std::string model;
    std::vector<AccountUse> accounts;
    Weighting weighting = Weighting::Refusals;
    Limits limits;
    Retry retry;
    std::vector<Backend> backends;

    [[nodiscard]] bool operator==(const ServiceDocument&) const = default;
};

/** Longer documents are refused unread. */
inline constexpr std::size_t maxDocumentBytes = 256UL * 1024;

/**
 * @brief Reads and checks a service's YAML document. Never throws, whatever the text.
 * @param text The whole document.
 * @param source Name of the document, for the findings.
 * @param findings Takes all that is wrong, each with line and column.
 * @return The document; nothing when anything was found.
 */
[[nodiscard]] std::optional<ServiceDocument> parseServiceDocument(
    std::string_view text, const std::string& source, Findings& findings);

/** @return `model` or `plain`, as the document says it. */
[[nodiscard]] std::string_view toText(BackendKind kind) noexcept;

/** @return `refusals` or `overspend`, as the document says it. */
[[nodiscard]] std::string_view toText(Weighting weighting) noexcept;

} // namespace swiftlift::settings
