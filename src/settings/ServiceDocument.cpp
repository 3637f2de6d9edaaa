#include "swiftlift/settings/ServiceDocument.h"

#include <map>

#include "settings/Checker.h"
#include "settings/Yaml.h"

namespace swiftlift::settings {

namespace {

    using internal::Checker;
    using internal::Presence;
    using internal::Range;
    using std::chrono::hours;
    using std::chrono::milliseconds;

    constexpr std::uint64_t kibi = 1024;
    constexpr Range<std::uint64_t> weightRange { 1, 1'000 };
    constexpr Range<std::uint64_t> bodyRange { 1 * kibi, 16 * kibi* kibi };
    constexpr Range<std::uint64_t> tokenRange { 1, 10'000'000 };
    constexpr Range<Duration> deadlineRange { milliseconds(100), hours(1) };
    constexpr Range<Duration> silenceRange { milliseconds(10), hours(1) };
    constexpr Range<std::uint64_t> waitingRange { 0, 100'000 };
    constexpr Range<std::uint64_t> attemptsRange { 1, 10 };
    constexpr Range<std::uint64_t> retryBudgetRange { 0, 100 };

    /** @brief Reports the key as an error if it is present; for keys that only the other kind of service has. */
    void rejectKey(Checker& checker, std::string_view key, const std::string& message)
    {
        if (checker.hasKey(key)) {
            checker.report(key, message);
        }
    }

    void readModel(Checker& root, ServiceDocument& document)
    {
        if (document.kind == BackendKind::Model) {
            root.name("model", Presence::Required, document.model);
            return;
        }
        root.text("model", Presence::Optional, document.model);
        rejectKey(root, "model", "a plain service has no model");
    }

    void readAccounts(Checker& root, ServiceDocument& document)
    {
        std::map<AccountId, std::size_t> seen;
        for (auto& checker : root.sectionList("accounts", Presence::Required)) {
            AccountUse use;
            checker.name("account", Presence::Required, use.account);
            checker.name("budget", Presence::Required, use.budget);
            checker.unsignedNumber("weight", Presence::Optional, weightRange, use.weight);
            checker.reportUnknownKeys();
            const auto [first, isNew] = seen.emplace(use.account, document.accounts.size());
            if (!isNew && !use.account.value().empty()) {
                checker.report("account",
                    '"' + use.account.value() + "\" stands in accounts[" + std::to_string(first->second) + "] too");
            }
            document.accounts.push_back(use);
        }
    }

    void readTokenLimits(Checker& checker, ServiceDocument& document)
    {
        auto& limits = document.limits;
        if (document.kind == BackendKind::Model) {
            checker.tokens("max_prompt_tokens", Presence::Optional, tokenRange, limits.maxPromptTokens);
            checker.tokens("max_answer_tokens", Presence::Optional, tokenRange, limits.maxAnswerTokens);
            Tokens ignored;
            checker.tokens("call_cost", Presence::Optional, tokenRange, ignored);
            rejectKey(checker, "call_cost", "a model service is billed by its tokens; it has no call_cost");
            return;
        }
        Tokens ignored;
        checker.tokens("call_cost", Presence::Required, tokenRange, limits.callCost);
        checker.tokens("max_prompt_tokens", Presence::Optional, tokenRange, ignored);
        rejectKey(checker, "max_prompt_tokens", "a plain service has no tokens; it is billed by call_cost");
        checker.tokens("max_answer_tokens", Presence::Optional, tokenRange, ignored);
        rejectKey(checker, "max_answer_tokens", "a plain service has no tokens; it is billed by call_cost");
    }

    void readLimits(Checker& root, ServiceDocument& document)
    {
        // A plain service must have a call_cost, otherwise its calls would be free; so its `limits` section is
        // required.
        const auto presence = document.kind == BackendKind::Plain ? Presence::Required : Presence::Optional;
        auto checker = root.section("limits", presence);
        auto& limits = document.limits;
        checker.size("max_body", Presence::Optional, bodyRange, limits.maxBodyBytes);
        readTokenLimits(checker, document);
        checker.duration("deadline", Presence::Optional, deadlineRange, limits.deadline);
        checker.duration("silence", Presence::Optional, silenceRange, limits.silence);
        checker.unsignedNumber("max_waiting", Presence::Optional, waitingRange, limits.maxWaiting);
        checker.reportUnknownKeys();
        if (limits.silence > limits.deadline) {
            checker.report(checker.hasKey("silence") ? "silence" : "deadline",
                "silence has to be no longer than deadline (defaults: silence 5s, deadline 30s)");
        }
    }

    void readRetry(Checker& root, ServiceDocument& document)
    {
        auto checker = root.section("retry", Presence::Optional);
        checker.unsignedNumber("attempts", Presence::Optional, attemptsRange, document.retry.attempts);
        checker.percent("budget", Presence::Optional, retryBudgetRange, document.retry.budgetPercent);
        checker.reportUnknownKeys();
    }

    void readBackends(Checker& root, ServiceDocument& document)
    {
        std::map<BackendId, std::size_t> seen;
        for (auto& checker : root.sectionList("backends", Presence::Required)) {
            Backend backend;
            checker.address("address", Presence::Required, backend.address);
            checker.name("domain", Presence::Required, backend.domain);
            checker.reportUnknownKeys();
            const auto [first, isNew] = seen.emplace(backend.address, document.backends.size());
            if (!isNew && !backend.address.value().empty()) {
                checker.report("address",
                    '"' + backend.address.value() + "\" stands in backends[" + std::to_string(first->second) + "] too");
            }
            document.backends.push_back(backend);
        }
    }

    [[nodiscard]] ServiceDocument readDocument(Checker& root)
    {
        ServiceDocument document;
        root.name("service", Presence::Required, document.service);
        root.choice<BackendKind>("kind", Presence::Required,
            { { "model", BackendKind::Model }, { "plain", BackendKind::Plain } }, document.kind);
        readModel(root, document);
        root.choice<Weighting>("weighting", Presence::Optional,
            { { "refusals", Weighting::Refusals }, { "overspend", Weighting::Overspend } }, document.weighting);
        readAccounts(root, document);
        readLimits(root, document);
        readRetry(root, document);
        readBackends(root, document);
        root.reportUnknownKeys();
        return document;
    }

} // namespace

std::optional<ServiceDocument> parseServiceDocument(
    std::string_view text, const std::string& source, Findings& findings)
{
    return internal::parseChecked(
        text, source, maxDocumentBytes, findings, [](Checker& root) { return readDocument(root); });
}

std::string_view toText(BackendKind kind) noexcept { return kind == BackendKind::Model ? "model" : "plain"; }

std::string_view toText(Weighting weighting) noexcept
{
    return weighting == Weighting::Refusals ? "refusals" : "overspend";
}

} // namespace swiftlift::settings
