#include "capacity/LedgerSample.h"

#include <algorithm>
#include <cassert>
#include <string>
#include <utility>

#include "swiftlift/ledger/Outbox.h"

namespace swiftlift::capacity {

namespace {

    constexpr std::size_t budgetsPerAccount = 10;
    constexpr std::size_t keyHashLength = 64;
    constexpr Tokens topUp { 1'000'000'000 };
    constexpr Tokens grantSize { 10'000 };

    /** @return A witnessed draw of a router on budget `number`. */
    [[nodiscard]] ledger::Draw draw(Incarnation holder, std::uint32_t grant, std::size_t number, Tokens wanted)
    {
        return { GrantId { holder, grant }, budgetName(number), wanted, Tokens { 1 },
            Incarnation { holder.value() + 1 } };
    }

} // namespace

AccountId accountName(std::size_t number) { return AccountId { "account-" + std::to_string(100'000 + number) }; }

BudgetRef budgetName(std::size_t number)
{
    return { accountName(number / budgetsPerAccount),
        BudgetId { "budget-" + std::to_string(number % budgetsPerAccount) } };
}

RequestKey requestKey(std::size_t number)
{
    constexpr std::uint64_t mix = 0x9E3779B97F4A7C15U;
    return { number * mix, ~number * mix };
}

ledger::OpenAccount openAccount(std::size_t number) { return { accountName(number), std::string(keyHashLength, 'a') }; }

ledger::Bill bill(std::size_t key) { return { requestKey(key), { firstRouter, 1 }, sampleBill }; }

ledger::Batch LedgerSample::batch(Incarnation origin, std::vector<ledger::Entry> entries)
{
    ledger::Batch batch;
    for (auto& entry : entries) {
        batch.items.push_back({ origin, ++sequences_[origin], std::move(entry) });
    }
    return batch;
}

std::vector<ledger::Effect> LedgerSample::append(Incarnation origin, std::vector<ledger::Entry> entries)
{
    std::vector<ledger::Effect> effects;
    [[maybe_unused]] const bool applied = fold_.apply(fold_.nextOffset(), batch(origin, std::move(entries)), effects);
    assert(applied && "a sample stream has no holes");
    return effects;
}

void LedgerSample::appendAll(Incarnation origin, const std::vector<ledger::Entry>& entries)
{
    for (std::size_t first = 0; first < entries.size(); first += ledger::Outbox::maxCopyItems) {
        const std::size_t last = std::min(entries.size(), first + ledger::Outbox::maxCopyItems);
        append(origin,
            { entries.begin() + static_cast<std::ptrdiff_t>(first),
                entries.begin() + static_cast<std::ptrdiff_t>(last) });
    }
}

void LedgerSample::addBudgets(std::size_t budgets)
{
    std::vector<ledger::Entry> entries;
    for (std::size_t account = 0; account * budgetsPerAccount < budgets; ++account) {
        entries.emplace_back(openAccount(account));
    }
    for (std::size_t budget = 0; budget < budgets; ++budget) {
        entries.emplace_back(ledger::TopUp { budgetName(budget), topUp });
    }
    appendAll(operatorOrigin, entries);
}

void LedgerSample::addLargeGrant()
{
    addBudgets(1);
    append(firstRouter, { draw(firstRouter, 1, 0, topUp) });
}

void LedgerSample::addGrants(std::size_t grants, std::size_t budgets, std::size_t routers)
{
    std::vector<std::vector<ledger::Entry>> byRouter(routers);
    for (std::size_t grant = 0; grant < grants; ++grant) {
        const Incarnation holder { firstRouter.value() + grant % routers };
        const auto number = static_cast<std::uint32_t>(grant / routers + 1);
        byRouter[grant % routers].emplace_back(draw(holder, number, grant % budgets, grantSize));
    }
    for (std::size_t router = 0; router < routers; ++router) {
        appendAll(Incarnation { firstRouter.value() + router }, byRouter[router]);
    }
}

} // namespace swiftlift::capacity
